//! Idempotency keys: parsing, issuing, and the sidecars that may run them.

use std::time::Duration;

use compact_str::CompactString;
use http::{HeaderMap, Method, Response};
use serde_json::json;

use cranberryridge_policy::member::{EndpointKey, View};
use cranberryridge_policy::{claim, issue, place};
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::{Digest, Incarnation};
use cranberryridge_wire::message::{Down, Issue, Up};

use super::http::json_response;
use super::{model, Shared};
use crate::body::Body;
use crate::problem::Problem;

/// Name of the header that holds a call's key.
pub const HEADER: &str = "idempotency-key";

/// Name of the header that marks an answer as stored by an earlier run of the same key.
pub const REPLAYED_HEADER: &str = "idempotent-replayed";

const MAX_KEY_BYTES: usize = 256;

/// Maximum time to wait for a sidecar to issue a key.
const ISSUE_TIMEOUT: Duration = Duration::from_secs(3);

/// An idempotency key of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Digest of client account, service and key text.
    pub digest: Digest,
    /// Age of the key: the log offset that it begins with, or the sequence number at
    /// the sidecar that issued it.
    pub position: u64,
    /// Sidecar that issued the key; `None` for a key chosen by the caller.
    pub issuer: Option<Owner>,
}

/// The only sidecar that may run the call of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    incarnation: Incarnation,
    /// Index of the endpoint at the sidecar; `None` for the first one that serves the
    /// service.
    endpoint: Option<u16>,
}

impl Owner {
    /// Creates the owner that a claim names.
    pub fn from_claim(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            endpoint: None,
        }
    }

    /// Returns the endpoint to send a call to; `None` if the sidecar's incarnation is
    /// not in the view.
    pub fn find_endpoint(&self, view: &View, service: &str) -> Option<EndpointKey> {
        let mut sidecars = view.sidecars.values();
        let sidecar = sidecars.find(|sidecar| sidecar.incarnation == self.incarnation)?;
        let mut endpoints = sidecar.endpoints.iter().copied();
        endpoints.find(|key| {
            let info = &view.endpoints[*key].info;
            let matches_index = self.endpoint.is_none_or(|index| index == info.index);
            matches_index && info.serves == service
        })
    }

    /// Returns the code for a call whose owner is missing: an issued key is gone, while
    /// the outcome of a chosen key is unknown.
    pub fn missing_code(&self) -> Code {
        match self.endpoint {
            Some(_) => Code::KeyGone,
            None => Code::KeyUnknown,
        }
    }
}

/// Reads the key of a call from its headers. Returns `None` if there is none.
///
/// # Errors
///
/// [`Code::BadKey`] if there are several keys, or if the key is too long, not printable
/// ASCII or without the prefix that states its age.
///
/// # Examples
///
/// ```
/// use cranberryridge::entry::keys::{read, HEADER};
/// let mut headers = http::HeaderMap::new();
/// assert!(read(&headers, "client", "orders").unwrap().is_none());
/// headers.insert(HEADER, "12.f3a9".parse().unwrap());
/// assert_eq!(read(&headers, "client", "orders").unwrap().unwrap().position, 12);
/// headers.insert(HEADER, "f3a9".parse().unwrap());
/// assert!(read(&headers, "client", "orders").is_err());
/// ```
pub fn read(headers: &HeaderMap, client: &str, service: &str) -> Result<Option<Key>, Problem> {
    let mut values = headers.get_all(HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bad = |detail: &str| Problem::with_detail(Code::BadKey, detail);
    if values.next().is_some() {
        return Err(bad("one key a request"));
    }
    let text = value.to_str().ok();
    let Some(text) = text.filter(|text| text.len() <= MAX_KEY_BYTES) else {
        return Err(bad("use at most 256 printable ASCII characters"));
    };
    let parts = [client.as_bytes(), service.as_bytes(), text.as_bytes()];
    let digest = Digest::of(&parts);
    if let Ok(issued) = text.parse::<issue::Key>() {
        let issuer = Owner {
            incarnation: issued.incarnation,
            endpoint: Some(issued.endpoint),
        };
        return Ok(Some(Key {
            digest,
            position: issued.sequence,
            issuer: Some(issuer),
        }));
    }
    let Some(position) = claim::parse_position(text) else {
        return Err(bad("begin it with the prefix that GET /keys/NAME tells"));
    };
    Ok(Some(Key {
        digest,
        position,
        issuer: None,
    }))
}

/// Answers `/keys/NAME`: POST issues a key, GET returns the current prefix for keys
/// that the caller chooses.
///
/// # Errors
///
/// Fails if the service does not exist, the method is wrong or no sidecar issues a key.
pub async fn serve<N, C>(
    shared: &Shared<N, C>,
    method: &Method,
    path: &str,
    client: &str,
) -> Result<Response<Body>, Problem> {
    let name = path.strip_prefix("/keys/").unwrap_or_default();
    let configuration = shared.configuration.borrow().clone();
    let service = configuration.services.get(name);
    if service.is_none_or(|service| !service.model.is_empty()) {
        let detail = format!("no plain service {name:?}");
        return Err(Problem::with_detail(Code::NoService, detail));
    }
    if method == Method::GET {
        let prefix = format!("{}.", shared.claims.position());
        return Ok(json_response(&json!({ "prefix": prefix })));
    }
    if method != Method::POST {
        return Err(Problem::new(Code::BadMethod));
    }
    let key = tokio::time::timeout(ISSUE_TIMEOUT, request_key(shared, name, client)).await;
    let key = key.ok().flatten();
    let Some(key) = key else {
        return Err(Problem::new(Code::NoEndpoint));
    };
    Ok(json_response(&json!({ "key": key })))
}

/// Requests a key from a sidecar of the service.
async fn request_key<N, C>(
    shared: &Shared<N, C>,
    service: &str,
    client: &str,
) -> Option<CompactString> {
    let snapshot = shared.snapshot.load_full();
    let requirement = place::Request {
        serves: service,
        prompt_tokens: 0,
        bytes_per_token: 0,
        domain: &shared.settings.common.domain,
        avoid: &[],
    };
    let key = shared.with_rng(|rng| place::choose_plain(&snapshot.view, &requirement, rng))?;
    let issue = Up::Issue(Issue {
        client: client.into(),
        endpoint: snapshot.view.endpoints[key].info.index,
        service: service.into(),
    });
    let link = model::link_to(shared, key)?;
    let (_sender, mut receiver) = link.open(&issue).await.ok()?;
    match receiver.next::<Down>().await.ok()?? {
        Down::Issued(issued) => Some(issued.key),
        _ => None,
    }
}
