//! Tests of mutual TLS between peers: which peers are accepted, and reloading keys without
//! a restart.

use std::fs;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use cranberryridge::net::memory::Memory;
use cranberryridge::net::tls::{Settings, Tls};
use cranberryridge::net::{Listen, Net};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Certificate authority.
struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Self(CertifiedIssuer::self_signed(params, key).unwrap())
    }

    /// Writes a certificate of this authority, its key, and the authority to trust.
    fn write(&self, folder: &Path, trusted: &Self) -> Settings {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.0).unwrap();
        fs::create_dir_all(folder).unwrap();
        let settings = Settings {
            authority: folder.join("authority.pem"),
            certificate: folder.join("certificate.pem"),
            key: folder.join("key.pem"),
            mutual: true,
            ..Settings::default()
        };
        fs::write(&settings.authority, trusted.0.pem()).unwrap();
        fs::write(&settings.certificate, certificate.pem()).unwrap();
        fs::write(&settings.key, key.serialize_pem()).unwrap();
        settings
    }
}

/// Returns the path of a folder that no other test uses.
fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Whether a byte gets from the client to the server and back.
async fn can_echo(server: &Tls<Memory>, client: &Tls<Memory>, port: u16) -> bool {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let mut listener = server.bind(address).await.unwrap();
    let echo = tokio::spawn(async move {
        let mut stream = listener.accept().await?;
        let byte = stream.read_u8().await?;
        stream.write_u8(byte).await?;
        stream.flush().await
    });
    let exchange = async {
        let mut stream = client.connect(address).await?;
        stream.write_u8(7).await?;
        stream.flush().await?;
        stream.read_u8().await
    };
    let byte = exchange.await;
    echo.abort();
    matches!(byte, Ok(7))
}

#[tokio::test]
async fn peers_of_one_authority_connect() {
    let (net, authority) = (Memory::default(), Authority::new());
    let server = Tls::new(net.clone(), authority.write(&folder("a"), &authority)).unwrap();
    let client = Tls::new(net, authority.write(&folder("b"), &authority)).unwrap();
    assert!(can_echo(&server, &client, 443).await);
}

#[tokio::test]
async fn a_client_of_another_authority_is_rejected() {
    let net = Memory::default();
    let (ours, theirs) = (Authority::new(), Authority::new());
    let server = Tls::new(net.clone(), ours.write(&folder("c"), &ours)).unwrap();
    let client = Tls::new(net, theirs.write(&folder("d"), &ours)).unwrap();
    assert!(!can_echo(&server, &client, 443).await);
}

#[tokio::test]
async fn a_server_of_another_authority_is_rejected() {
    let net = Memory::default();
    let (ours, theirs) = (Authority::new(), Authority::new());
    let server = Tls::new(net.clone(), theirs.write(&folder("e"), &ours)).unwrap();
    let client = Tls::new(net, ours.write(&folder("f"), &ours)).unwrap();
    assert!(!can_echo(&server, &client, 443).await);
}

#[tokio::test]
async fn new_keys_are_used_without_a_restart() {
    let net = Memory::default();
    let (old, new) = (Authority::new(), Authority::new());
    let server = Tls::new(net.clone(), old.write(&folder("g"), &old)).unwrap();
    let client = Tls::new(net.clone(), new.write(&folder("h"), &new)).unwrap();
    assert!(!can_echo(&server, &client, 443).await);
    new.write(&folder("g"), &new);
    server.reload().unwrap();
    assert!(can_echo(&server, &client, 444).await);
}

#[tokio::test]
async fn invalid_keys_do_not_replace_the_old_ones() {
    let (net, authority) = (Memory::default(), Authority::new());
    let settings = authority.write(&folder("i"), &authority);
    let key = settings.key.clone();
    let server = Tls::new(net.clone(), settings).unwrap();
    let client = Tls::new(net, authority.write(&folder("j"), &authority)).unwrap();
    fs::write(key, "no key").unwrap();
    assert!(server.reload().is_err());
    assert!(can_echo(&server, &client, 443).await);
}

#[tokio::test]
async fn a_connection_with_tls_is_reset_on_close_as_well() {
    let (net, authority) = (Memory::default(), Authority::new());
    let server = Tls::new(net.clone(), authority.write(&folder("k"), &authority)).unwrap();
    let client = Tls::new(net, authority.write(&folder("l"), &authority)).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 443));
    let mut listener = server.bind(address).await.unwrap();
    let (accepted, connected) = tokio::join!(listener.accept(), client.connect(address));
    let (mut near, mut far) = (accepted.unwrap(), connected.unwrap());
    near.write_all(b"half").await.unwrap();
    near.flush().await.unwrap();
    server.set_reset_on_close(&mut near, true);
    drop(near);
    let mut bytes = Vec::new();
    let error = far.read_to_end(&mut bytes).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(bytes, b"half");
}
