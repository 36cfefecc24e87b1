//! Measures the cost of TLS between all processes: runs the same requests over
//! pipes with and without it. Run it with `cargo run --release -p
//! cranberryridge-standin --example tls-cost`.

use std::time::{Duration, Instant};

use anyhow::Result;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use serde_json::json;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::memory::Memory;
use cranberryridge::net::tls::{Settings, Tls};
use cranberryridge::net::Net;
use cranberryridge_standin::fleet::{Fleet, Plan};
use cranberryridge_wire::id::Version;

/// Number of timed requests.
const REQUESTS: u32 = 400;

/// Tokens in each answer.
const TOKENS: u32 = 50;

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let plain = run(Memory::default()).await?;
        let tls = run(Tls::new(Memory::default(), keys()?)?).await?;
        println!(
            "plain {:?} a request, TLS {:?} a request",
            plain / REQUESTS,
            tls / REQUESTS
        );
        Ok(())
    })
}

/// Returns the processor time of the requests. The paused clock doesn't affect
/// it.
async fn run<N: Net>(net: N) -> Result<Duration> {
    let fleet = Fleet::start(net.clone(), Tokio, Plan::default()).await?;
    fleet.publish(Version::default(), fleet.services());
    fleet.wait_ready().await;
    let client = Client::new(net, fleet.entries[0].address());
    let begun = Instant::now();
    for number in 0..REQUESTS {
        let body = json!({
            "model": "summaries",
            "prompt": format!("request {number}"),
            "max_tokens": TOKENS,
            "stream": true,
        });
        let mut request = http::Request::new(http_body_util::Full::new(body.to_string().into()));
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static("/v1/completions");
        let answer = client.fetch(request).await?;
        anyhow::ensure!(answer.status() == 200, "answered {}", answer.status());
    }
    Ok(begun.elapsed())
}

/// Creates a certificate authority and a key, in files in the temporary folder.
fn keys() -> Result<Settings> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let key = KeyPair::generate()?;
    let hosts = (1..40).map(|host| format!("127.0.1.{host}"));
    let certificate =
        CertificateParams::new(hosts.collect::<Vec<_>>())?.signed_by(&key, &authority)?;

    let folder = std::env::temp_dir().join(format!("cranberryridge-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let settings = Settings {
        authority: folder.join("authority.pem"),
        certificate: folder.join("certificate.pem"),
        key: folder.join("key.pem"),
        mutual: true,
        ..Settings::default()
    };
    std::fs::write(&settings.authority, authority.pem())?;
    std::fs::write(&settings.certificate, certificate.pem())?;
    std::fs::write(&settings.key, key.serialize_pem())?;
    Ok(settings)
}
