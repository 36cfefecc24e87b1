//! TLS over another network: mutual TLS between the project's daemons, server-side TLS
//! towards callers.

use std::io::{self, Error, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use arc_swap::ArcSwap;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

use cranberryridge_wire::Set;

use super::{Listen, Net};

/// Maximum time of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of connections that have finished their handshake and wait to be
/// accepted.
const ACCEPT_QUEUE_CAPACITY: usize = 128;

/// TLS over another network. Clones share the credentials, so a reload reaches all.
#[derive(Clone, Debug)]
pub struct Tls<N> {
    inner: N,
    settings: Arc<Settings>,
    /// Credentials last read from the files.
    credentials: Arc<ArcSwap<Credentials>>,
}

/// Files of the credentials, and where TLS applies.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// PEM file with the CA certificates that peer certificates are verified against.
    pub authority: PathBuf,
    /// PEM file with the certificate chain to present.
    pub certificate: PathBuf,
    /// PEM file with the private key of the certificate.
    pub key: PathBuf,
    /// Whether clients must present a certificate. If not, the server offers HTTP/2 and
    /// HTTP/1.1 by ALPN, as its clients are callers.
    pub mutual: bool,
    /// Addresses that are connected to without TLS, namely the endpoints on the same host.
    pub plaintext: Set<SocketAddr>,
}

/// TLS configurations built from the keys and certificates in use.
#[derive(Debug)]
struct Credentials {
    /// For outgoing connections.
    client: Arc<ClientConfig>,
    /// For incoming connections.
    server: Arc<ServerConfig>,
}

impl<N: Net> Tls<N> {
    /// Creates a TLS network and reads the credentials from the files.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or its content is invalid.
    pub fn new(inner: N, settings: Settings) -> io::Result<Self> {
        let credentials = Credentials::read(&settings)?;
        Ok(Self {
            inner,
            settings: Arc::new(settings),
            credentials: Arc::new(ArcSwap::from_pointee(credentials)),
        })
    }

    /// Reads the files again. New connections use the new credentials.
    ///
    /// # Errors
    ///
    /// As [`Tls::new`]; the previous credentials then stay in use.
    pub fn reload(&self) -> io::Result<()> {
        self.credentials
            .store(Arc::new(Credentials::read(&self.settings)?));
        Ok(())
    }

    /// Reloads the files at the given interval, endlessly. A failed reload is logged.
    pub async fn reload_periodically(self, interval: Duration, logger: slog::Logger) {
        loop {
            tokio::time::sleep(interval).await;
            if let Err(error) = self.reload() {
                slog::warn!(logger, "tls: cannot reload the keys, the old ones stay"; "error" => %error);
            }
        }
    }
}

impl Credentials {
    fn read(settings: &Settings) -> io::Result<Self> {
        let roots = Arc::new(read_roots(settings)?);
        let (chain, key) = (read_chain(settings)?, read_key(settings)?);
        let client = ClientConfig::builder()
            .with_root_certificates(roots.clone())
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .map_err(invalid_data)?;

        let server = ServerConfig::builder();
        let server = if settings.mutual {
            let verifier = WebPkiClientVerifier::builder(roots)
                .build()
                .map_err(invalid_data)?;
            server.with_client_cert_verifier(verifier)
        } else {
            server.with_no_client_auth()
        };
        let mut server = server.with_single_cert(chain, key).map_err(invalid_data)?;
        if !settings.mutual {
            server.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
        }
        Ok(Self {
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}

impl<N: Net> Net for Tls<N> {
    type Stream = Stream<N::Stream>;
    type Listener = Listener<N::Stream>;

    async fn connect(&self, address: SocketAddr) -> io::Result<Self::Stream> {
        let stream = self.inner.connect(address).await?;
        if self.settings.plaintext.contains(&address) {
            return Ok(Stream::Plain(stream));
        }
        let connector = TlsConnector::from(self.credentials.load().client.clone());
        let name = ServerName::IpAddress(address.ip().into());
        let stream =
            tokio::time::timeout(HANDSHAKE_TIMEOUT, connector.connect(name, stream)).await??;
        Ok(Stream::Tls(Box::new(stream.into())))
    }

    async fn bind(&self, address: SocketAddr) -> io::Result<Self::Listener> {
        let mut listener = self.inner.bind(address).await?;
        let address = listener.address();
        let (sender, receiver) = mpsc::channel(ACCEPT_QUEUE_CAPACITY);
        let credentials = self.credentials.clone();
        // Handshakes run concurrently, so that a slow one does not delay the others.
        tokio::spawn(async move {
            while !sender.is_closed() {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = sender.closed() => return,
                };
                let Ok(stream) = accepted else {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                };
                let acceptor = TlsAcceptor::from(credentials.load().server.clone());
                tokio::spawn(handshake(acceptor, stream, sender.clone()));
            }
        });
        Ok(Listener { address, receiver })
    }

    fn peer(&self, stream: &Self::Stream) -> Option<IpAddr> {
        match stream {
            Stream::Plain(stream) => self.inner.peer(stream),
            Stream::Tls(stream) => self.inner.peer(stream.get_ref().0),
        }
    }

    fn set_reset_on_close(&self, stream: &mut Self::Stream, resets: bool) {
        let stream = match stream {
            Stream::Plain(stream) => stream,
            Stream::Tls(stream) => stream.get_mut().0,
        };
        self.inner.set_reset_on_close(stream, resets);
    }
}

/// Performs the handshake with one client. A connection whose handshake fails is dropped.
async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
    acceptor: TlsAcceptor,
    stream: S,
    sender: mpsc::Sender<Stream<S>>,
) {
    let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
    if let Ok(Ok(stream)) = accepted {
        // Sending fails only if the listener was dropped.
        let _ = sender.send(Stream::Tls(Box::new(stream.into()))).await;
    }
}

/// A listener of TLS connections.
#[derive(Debug)]
pub struct Listener<S> {
    address: SocketAddr,
    /// Connections that have finished their handshake.
    receiver: mpsc::Receiver<Stream<S>>,
}

impl<S: Send + 'static> Listen for Listener<S> {
    type Stream = Stream<S>;

    async fn accept(&mut self) -> io::Result<Stream<S>> {
        self.receiver
            .recv()
            .await
            .ok_or(ErrorKind::NotConnected.into())
    }

    fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A connection with TLS or, to an endpoint on the same host, without.
#[derive(Debug)]
pub enum Stream<S> {
    /// Without TLS.
    Plain(S),
    /// With TLS.
    Tls(Box<TlsStream<S>>),
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(cx, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_read(cx, buffer),
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(cx, bytes),
            Self::Tls(stream) => Pin::new(stream).poll_write(cx, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

/// Reads the CA certificates that peer certificates are verified against.
fn read_roots(settings: &Settings) -> io::Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    let file = &settings.authority;
    let certificates =
        CertificateDer::pem_file_iter(file).map_err(|error| file_error(file, error))?;
    for certificate in certificates {
        let certificate = certificate.map_err(|error| file_error(file, error))?;
        roots.add(certificate).map_err(invalid_data)?;
    }
    Ok(roots)
}

/// Reads the certificate chain to present.
fn read_chain(settings: &Settings) -> io::Result<Vec<CertificateDer<'static>>> {
    let file = &settings.certificate;
    let certificates =
        CertificateDer::pem_file_iter(file).map_err(|error| file_error(file, error))?;
    certificates
        .collect::<Result<_, _>>()
        .map_err(|error| file_error(file, error))
}

/// Reads the private key of the certificate.
fn read_key(settings: &Settings) -> io::Result<PrivateKeyDer<'static>> {
    let file = &settings.key;
    PrivateKeyDer::from_pem_file(file).map_err(|error| file_error(file, error))
}

/// Creates the error for a file that cannot be read or parsed.
fn file_error(file: &std::path::Path, error: impl std::fmt::Display) -> Error {
    Error::new(
        ErrorKind::InvalidData,
        format!("{}: {error}", file.display()),
    )
}

/// Creates the error for keys or certificates that rustls rejects.
fn invalid_data(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
