//! Requests on raw sockets, as an endpoint reads them.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Returns the value of a header in the head of a request.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Reads a request. Returns its head, or `None` if the caller is gone.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    loop {
        let mut bytes = [0; 4096];
        let count = stream.read(&mut bytes).await.ok();
        let count = count.filter(|count| *count > 0)?;
        text += &String::from_utf8_lossy(&bytes[..count]);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = header(head, "content-length");
        if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
            return Some(head.to_owned());
        }
    }
}
