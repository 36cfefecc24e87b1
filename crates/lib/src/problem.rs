//! Refusals and failures as callers see them.

use std::time::Duration;

use http::{header, HeaderValue, Response, StatusCode};
use serde_json::{json, Value};

use cranberryridge_wire::code::Code;

use crate::body::Body;

/// Header with the result code's number.
pub const CODE_HEADER: &str = "x-cranberryridge-code";

/// Header with the result code's class.
pub const CLASS_HEADER: &str = "x-cranberryridge-class";

/// A refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The reason.
    pub code: Code,
    /// When to come back, zero for unknown.
    pub retry_after: Duration,
    /// What is particular to this request.
    pub detail: String,
}

impl Problem {
    /// A problem without particulars.
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
            retry_after: Duration::ZERO,
            detail: String::new(),
        }
    }

    /// A problem with particulars.
    pub fn with_detail(code: Code, detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
            ..Self::new(code)
        }
    }

    /// The problem as an answer.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::full(self.document().to_string()));
        let status = StatusCode::from_u16(self.code.status());
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

    /// The problem's details as RFC 9457 has them, with the error object that
    /// clients of the OpenAI API read.
    pub fn document(&self) -> Value {
        json!({
            "type": format!("urn:cranberryridge:code:{}", self.code.number()),
            "title": self.code.text(),
            "status": self.code.status(),
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

    /// Whole seconds to wait, where waiting helps.
    fn retry_after_seconds(&self) -> Option<u64> {
        let can_retry = matches!(self.code.status(), 429 | 503) || self.code == Code::KeyRunning;
        can_retry.then(|| {
            self.retry_after.as_secs() + u64::from(self.retry_after.subsec_nanos() > 0).max(1)
        })
    }
}
