//! Headers that are forwarded between callers and plain services.

use http::HeaderMap;

use cranberryridge_wire::message::Header;

/// Headers that concern a single connection and are not forwarded.
pub const HOP_BY_HOP: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers of a call that are forwarded to the service.
///
/// # Examples
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("connection", "close".parse().unwrap());
/// headers.insert("x-tag", "t".parse().unwrap());
/// let forwarded = cranberryridge::entry::headers::forward(&headers);
/// assert_eq!(forwarded.len(), 1);
/// ```
pub fn forward(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    let header = forwarded.map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec().into(),
    });
    header.collect()
}
