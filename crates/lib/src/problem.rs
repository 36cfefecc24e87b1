//! Refusals and failures in the form that callers receive.

use std::time::Duration;

use http::{header, HeaderValue, Response, StatusCode};
use serde_json::{json, Value};

use cranberryridge_wire::code::Code;

use crate::body::Body;

/// Name of the header with the number of the result code.
pub const CODE_HEADER: &str = "x-cranberryridge-code";

/// Name of the header with the class of the result code.
pub const CLASS_HEADER: &str = "x-cranberryridge-class";

/// A refusal or failure of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Result code, which determines title and class.
    pub code: Code,
    /// HTTP status, by default that of the code.
    pub status: u16,
    /// When the caller may retry; zero if unknown.
    pub retry_after: Duration,
    /// Details about this request; may be empty.
    pub detail: String,
}

impl Problem {
    /// Creates a problem without details.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge::problem::Problem;
    /// use cranberryridge::wire::code::Code;
    /// assert_eq!(Problem::new(Code::Full).response().status(), 503);
    /// ```
    pub fn new(code: Code) -> Self {
        Self {
            code,
            status: code.status(),
            retry_after: Duration::ZERO,
            detail: String::new(),
        }
    }

    /// Creates a problem with details.
    pub fn with_detail(code: Code, detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
            ..Self::new(code)
        }
    }

    /// Returns the problem as an HTTP response.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::full(self.document().to_string()));
        let status = StatusCode::from_u16(self.status);
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        let media = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, media);
        headers.insert(CODE_HEADER, HeaderValue::from(self.code.number()));
        let class = HeaderValue::from_static(self.code.class().as_str());
        headers.insert(CLASS_HEADER, class);
        if let Some(seconds) = self.retry_after_seconds() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    /// Returns the problem details object of RFC 9457, with the error object that
    /// clients of the OpenAI API expect.
    pub fn document(&self) -> Value {
        json!({
            "type": format!("urn:cranberryridge:code:{}", self.code.number()),
            "title": self.code.text(),
            "status": self.status,
            "detail": self.detail,
            "code": self.code.number(),
            "class": self.code.class().as_str(),
            "error": {
                "message": format!("{} {}", self.code.text(), self.detail).trim_end(),
                "type": self.code.slug(),
                "code": self.code.number(),
            },
        })
    }

    /// Whole seconds until a retry; `None` if a later retry does not help.
    fn retry_after_seconds(&self) -> Option<u64> {
        let can_retry = matches!(self.status, 429 | 503) || self.code == Code::KeyRunning;
        can_retry.then(|| {
            self.retry_after.as_secs() + u64::from(self.retry_after.subsec_nanos() > 0).max(1)
        })
    }
}
