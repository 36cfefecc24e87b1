//! Headers that are passed on between callers and plain services.

use http::HeaderMap;

use cranberryridge_wire::message::Header;

/// Headers that belong to one connection and are not passed on.
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

/// The headers that a service gets of a caller's.
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
