//! Malformed input gets a result code and doesn't affect other requests.

mod peer;

use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use cranberryridge::client::Client;
use cranberryridge::net::{memory::Memory, Net};
use cranberryridge::stream::Receiver;
use cranberryridge::wire::code::Code;
use cranberryridge::wire::codec;
use cranberryridge::wire::id::Version;
use cranberryridge::wire::message::{Beat, Down, Hold, Up};
use cranberryridge_standin::engine::expected_answer;

use peer::{
    call, completion, pair_plan, post, receive, start_fleet, text, wait_until, with_timeout,
    Deployment, Peer,
};

/// Runs a task during a streamed answer, and asserts that the answer arrives
/// complete.
async fn with_parallel_answer<T>(
    net: &Memory,
    fleet: &Deployment,
    garbage: impl std::future::Future<Output = T>,
) -> T {
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let mut answer = client.send(completion("beside", 100)).await.unwrap();
    let first = answer.body_mut().frame().await.unwrap().unwrap();
    let mut whole = first.into_data().unwrap().to_vec();
    let result = with_timeout(garbage).await;
    let rest = with_timeout(answer.into_body().collect()).await.unwrap();
    whole.extend(rest.to_bytes());
    assert_eq!(text(&whole), expected_answer("beside", 100));
    result
}

/// Opens a stream at a sidecar with raw bytes and returns its first answer.
async fn send_raw(requests: &SendRequest<Bytes>, bytes: Vec<u8>, end: bool) -> Option<Down> {
    let mut requests = requests.clone().ready().await.unwrap();
    let request = Request::post("http://sidecar/stream").body(()).unwrap();
    let (response, mut send) = requests.send_request(request, false).unwrap();
    send.send_data(bytes.into(), end).unwrap();
    let response = with_timeout(response).await.unwrap();
    let mut receiver = Receiver::new(response.into_body());
    with_timeout(receiver.next::<Down>()).await.ok().flatten()
}

/// Returns whether a stream was refused with a code.
fn is_refused_with(down: Option<Down>, code: Code) -> bool {
    matches!(down, Some(Down::Refused(refusal)) if refusal.code == code)
}

#[tokio::test(start_paused = true)]
async fn malformed_frames_are_refused() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let address = fleet.sidecars[1].address();
    with_parallel_answer(&net, &fleet, async {
        let entry = Peer::greet(&net, address).await;
        let whole = codec::encode(&peer::hold(1)).unwrap();
        let cut = whole[..whole.len() / 2].to_vec();
        let mut unknown = 4u32.to_le_bytes().to_vec();
        unknown.extend(u32::MAX.to_le_bytes());
        let mut trailing = whole.clone();
        let longer = u32::try_from(whole.len() - 4 + 3).unwrap();
        trailing[..4].copy_from_slice(&longer.to_le_bytes());
        trailing.extend([0; 3]);
        let beat = Up::Beat(Beat {
            sequence: 0,
            version: Version(0),
            suspects: Vec::new(),
        });
        let frames = [
            (u32::MAX.to_le_bytes().to_vec(), false),
            (vec![0xff; 64], false),
            (cut.clone(), true),
            (cut, false),
            (Vec::new(), true),
            (unknown, false),
            (trailing, false),
            (codec::encode(&beat).unwrap(), false),
        ];
        for (bytes, end) in frames {
            let answer = send_raw(&entry.requests, bytes.clone(), end).await;
            assert!(
                is_refused_with(answer.clone(), Code::BadMessage),
                "{bytes:?}: {answer:?}"
            );
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_unknown_endpoint_is_refused() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let entry = Peer::greet(&net, fleet.sidecars[1].address()).await;
    let mut wrong = call(1);
    wrong.endpoint = 99;
    let hold = Up::Hold(Hold {
        call: wrong,
        prompt: 1,
        output: 1,
        ahead: Duration::ZERO.into(),
    });
    let (_sender, mut receiver) = entry.open(&hold).await;
    assert!(is_refused_with(
        Some(receive(&mut receiver).await),
        Code::NoEndpoint
    ));
}

#[tokio::test(start_paused = true)]
async fn bytes_of_no_known_protocol_close_their_connection_only() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let addresses = [fleet.sidecars[1].address(), fleet.entries[0].address()];
    with_parallel_answer(&net, &fleet, async {
        for address in addresses {
            let mut stream = net.connect(address).await.unwrap();
            stream.write_all(&[0xfe; 4096]).await.unwrap();
            let mut answer = Vec::new();
            // How the peer closes the connection doesn't matter.
            let _ = stream.read_to_end(&mut answer).await;
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_connection_without_a_greeting_is_closed() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let entry = Peer::connect(&net, fleet.sidecars[1].address()).await;
    let (_sender, mut receiver) = entry.open(&peer::hold(1)).await;
    assert!(matches!(receive(&mut receiver).await, Down::Granted(_)));
    let metrics = fleet.sidecars[1].metrics();
    wait_until(Duration::from_secs(6), "closed", || {
        metrics.get("connection.no_greeting") == 1
    })
    .await;
    assert!(with_timeout(receiver.next::<Down>()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn malformed_bodies_get_a_result_code() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let large = vec![b' '; 9 * 1024 * 1024];
    let bodies: [(&str, Vec<u8>, &str); 6] = [
        ("/v1/completions", b"{".to_vec(), "1002"),
        ("/v1/completions", b"[]".to_vec(), "1002"),
        ("/v1/completions", vec![0xff; 9], "1002"),
        ("/v1/completions", large, "1003"),
        (
            "/v1/completions",
            json!({ "model": "none", "prompt": "p" }).to_string().into(),
            "1004",
        ),
        ("/nowhere", b"{}".to_vec(), "1001"),
    ];
    with_parallel_answer(&net, &fleet, async {
        for (path, body, code) in bodies {
            let mut request = post(path, &json!({}));
            *request.body_mut() = Full::new(Bytes::from(body));
            let answer = client.fetch(request).await.unwrap();
            assert_eq!(answer.headers()["x-cranberryridge-code"], code);
        }
    })
    .await;
    assert_eq!(fleet.ledger.tokens_read(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_head_or_body_times_out() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let parts = [
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-half",
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{",
    ];
    for part in parts {
        let mut stream = net.connect(fleet.entries[0].address()).await.unwrap();
        stream.write_all(part.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let ended = tokio::time::timeout(Duration::from_secs(45), stream.read_to_end(&mut answer));
        let _ = ended.await.expect("still open");
    }
}
