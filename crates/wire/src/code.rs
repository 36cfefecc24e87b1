//! Numbered result codes, grouped into three classes that a caller can act on.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a caller may conclude about execution from a refusal or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Class {
    /// The request did not run and is safe to resend.
    NotRun,
    /// The request ran and failed.
    RanAndFailed,
    /// It cannot be determined whether the request ran.
    Unknown,
}

impl Class {
    /// The text that callers receive for this class.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::RanAndFailed => "ran and failed",
            Self::Unknown => "unknown outcome",
        }
    }
}

/// Declares each code with its number, HTTP status, name and text. The doc
/// comment of a code is the text that callers receive.
macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $slug:literal;)+) => {
        /// A refusal or failure with a stable number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Code {
            /// Every code, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The HTTP status of a response with this code.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }

            /// The label of this code in metrics and documentation.
            pub fn slug(self) -> &'static str {
                match self {
                    $(Self::$name => $slug,)+
                }
            }

            /// The explanation that callers receive.
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => concat!($($doc),+).trim_ascii(),)+
                }
            }
        }
    };
}

codes! {
    /// The request's head or path is not understood.
    BadRequest = 1001, 400, "bad_request";
    /// The body is not valid JSON, or lacks a field that the API needs.
    BadBody = 1002, 400, "bad_body";
    /// The body is larger than the entry takes.
    BodyTooLarge = 1003, 413, "body_too_large";
    /// No service of this name or model is configured.
    NoService = 1004, 404, "no_service";
    /// The method is not allowed on this path.
    BadMethod = 1005, 405, "bad_method";
    /// The prompt and the answer do not fit into any engine's memory.
    PromptTooLong = 1006, 400, "prompt_too_long";
    /// The idempotency key is neither one that was issued nor one that begins with a log position.
    BadKey = 1007, 400, "bad_key";
    /// The request names no key of a client account.
    UnknownKey = 1009, 401, "unknown_key";
    /// The client account is at its limit of concurrent requests.
    ClientLimit = 1101, 429, "client_limit";
    /// The target can no longer be met and the service refuses late requests.
    TooLate = 1102, 503, "too_late";
    /// Every endpoint that could serve the request is full.
    Full = 1103, 503, "full";
    /// No endpoint that could serve the request is known and ready.
    NoEndpoint = 1104, 503, "no_endpoint";
    /// The daemon is shutting down.
    Draining = 1105, 503, "draining";
    /// No configuration has been read yet.
    NoConfiguration = 1106, 503, "no_configuration";
    /// The request crashed endpoints and is barred for a time.
    Barred = 1107, 422, "barred";
    /// The platform's log is down or behind, so the key could not be claimed.
    LogDown = 1108, 503, "log_down";
    /// The service's retry budget is spent.
    RetryBudget = 1110, 503, "retry_budget";
    /// The caller closed its connection before the request ran.
    CallerGone = 1112, 499, "caller_gone";
    /// The message between entry and sidecar was not understood.
    BadMessage = 1113, 502, "bad_message";
    /// The attempt was settled as never seen, and is barred.
    Settled = 1114, 409, "settled";
    /// The idempotency key was used before with another request.
    KeyMismatch = 1115, 422, "key_mismatch";
    /// It is not known yet which service or software version began the stream; a later attempt may
    /// go on with it.
    OriginUnknown = 1116, 503, "origin_unknown";
    /// No endpoint of the route's service has the software version that began the stream.
    VersionGone = 1117, 503, "version_gone";
    /// The client account has used up its quota.
    Quota = 1118, 429, "quota";
    /// This host has reached neither the platform's store nor another host for some time, so that no
    /// other one could go on with the stream.
    Isolated = 1119, 503, "isolated";
    /// The endpoint failed while it ran the request.
    EndpointFailed = 2001, 502, "endpoint_failed";
    /// The request ran past its deadline.
    Deadline = 2002, 504, "deadline";
    /// The prefill's result was lost before it could be decoded, again and again.
    TransferFailed = 2003, 502, "transfer_failed";
    /// The endpoint crashed while it ran the request.
    EndpointCrashed = 2004, 502, "endpoint_crashed";
    /// The connection to the sidecar broke and it cannot be told whether the request ran.
    ConnectionLost = 3001, 502, "connection_lost";
    /// The key was claimed before and the outcome of that run is not known here.
    KeyUnknown = 3002, 409, "key_unknown";
    /// The same key is running now.
    KeyRunning = 3003, 409, "key_running";
    /// The connection to the endpoint broke and it cannot be told whether the request ran.
    EndpointLost = 3004, 502, "endpoint_lost";
    /// The deadline passed after the request was sent, and its outcome is not known.
    Overdue = 3005, 504, "overdue";
    /// The idempotency key is older than what is remembered, so an earlier run cannot be ruled out.
    KeyExpired = 3006, 409, "key_expired";
    /// The sidecar that issued the key is gone or not known here; an earlier run cannot be ruled out.
    KeyGone = 3007, 410, "key_gone";
    /// This host stopped after the request was sent, and its outcome is not known.
    Stopped = 3008, 504, "stopped";
}

impl Code {
    /// The stable number of this code.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_wire::code::Code;
    /// assert_eq!(Code::TooLate.number(), 1102);
    /// ```
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The class, which the first digit of the number encodes.
    pub fn class(self) -> Class {
        match self.number() / 1000 {
            1 => Class::NotRun,
            2 => Class::RanAndFailed,
            _ => Class::Unknown,
        }
    }

    /// Looks a code up by its number; `None` if no code has it.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} ({})",
            self.number(),
            self.slug(),
            self.class().as_str()
        )
    }
}
