//! TLS over another network: mutual between the project's own processes,
//! ordinary towards callers.

use std::io::{self, Error, ErrorKind};
use std::net::SocketAddr;
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

/// Longest time for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that wait to be taken.
const ACCEPT_QUEUE_CAPACITY: usize = 128;

/// TLS over another network. Clones share certificates, and so see new ones.
#[derive(Clone, Debug)]
pub struct Tls<N> {
    /// The network below.
    inner: N,
    /// Files and rules.
    settings: Arc<Settings>,
    /// What the files last gave.
    credentials: Arc<ArcSwap<Credentials>>,
}

/// Files and rules.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Certificates that peers' certificates must come from, PEM.
    pub authority: PathBuf,
    /// Own certificates, PEM.
    pub certificate: PathBuf,
    /// Own private key, PEM.
    pub key: PathBuf,
    /// Whether those who connect must show a certificate.
    pub mutual: bool,
    /// Addresses that are connected to without TLS: the endpoints beside.
    pub plaintext: Set<SocketAddr>,
}

/// Credentials in use.
#[derive(Debug)]
struct Credentials {
    /// For connections made.
    client: Arc<ClientConfig>,
    /// For connections taken.
    server: Arc<ServerConfig>,
}

impl<N: Net> Tls<N> {
    /// TLS with the keys that the files give now.
    ///
    /// # Errors
    ///
    /// When a file cannot be read or does not hold what it should.
    pub fn new(inner: N, settings: Settings) -> io::Result<Self> {
        let credentials = Credentials::read(&settings)?;
        Ok(Self {
            inner,
            settings: Arc::new(settings),
            credentials: Arc::new(ArcSwap::from_pointee(credentials)),
        })
    }

    /// Reads the files again. Connections from here on use what they give.
    ///
    /// # Errors
    ///
    /// As [`Tls::new`]; the keys in use stay then.
    pub fn reload(&self) -> io::Result<()> {
        self.credentials
            .store(Arc::new(Credentials::read(&self.settings)?));
        Ok(())
    }

    /// Reads the files again at intervals, for ever.
    pub async fn reload_periodically(self, interval: Duration, logger: slog::Logger) {
        loop {
            tokio::time::sleep(interval).await;
            if let Err(error) = self.reload() {
                slog::warn!(logger, "tls: keys not read, the old ones stay"; "error" => %error);
            }
        }
    }
}

impl Credentials {
    /// Reads the files.
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
        // Handshakes run beside each other, so that a slow one holds up none.
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
}

/// Shakes hands with one peer. A peer that fails is dropped.
async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
    acceptor: TlsAcceptor,
    stream: S,
    sender: mpsc::Sender<Stream<S>>,
) {
    let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
    if let Ok(Ok(stream)) = accepted {
        // A listener that is gone takes no more connections.
        let _ = sender.send(Stream::Tls(Box::new(stream.into()))).await;
    }
}

/// A listener of TLS connections.
#[derive(Debug)]
pub struct Listener<S> {
    /// Where it listens.
    address: SocketAddr,
    /// Connections whose handshake is done.
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

/// A connection, with TLS or, to an endpoint beside, without.
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

/// The certificates that peers' certificates must come from.
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

/// Own certificates.
fn read_chain(settings: &Settings) -> io::Result<Vec<CertificateDer<'static>>> {
    let file = &settings.certificate;
    let certificates =
        CertificateDer::pem_file_iter(file).map_err(|error| file_error(file, error))?;
    certificates
        .collect::<Result<_, _>>()
        .map_err(|error| file_error(file, error))
}

/// Own private key.
fn read_key(settings: &Settings) -> io::Result<PrivateKeyDer<'static>> {
    let file = &settings.key;
    PrivateKeyDer::from_pem_file(file).map_err(|error| file_error(file, error))
}

/// The error of a file that is not what it should be.
fn file_error(file: &std::path::Path, error: impl std::fmt::Display) -> Error {
    Error::new(
        ErrorKind::InvalidData,
        format!("{}: {error}", file.display()),
    )
}

/// The error of keys that cannot be used.
fn invalid_data(error: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
