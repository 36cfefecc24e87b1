//! What endpoints that leave say of their exit.

use std::time::{Duration, Instant};

use cranberryridge_wire::Map;

use super::pool::EndpointKey;
use crate::answer::survival::Departure;

/// Time between two questions to an endpoint, whose reports lag behind.
const QUESTION_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which an endpoint that was asked is remembered, also if it is listed no more.
const QUESTION_LIFETIME: Duration = Duration::from_secs(60);

/// Endpoints that were asked when they exit.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::answer::survival::Departure;
/// use cranberryridge_policy::gateway::departure::Table;
/// use cranberryridge_policy::gateway::pool::EndpointKey;
/// let (mut table, now, key) = (Table::default(), Instant::now(), EndpointKey::default());
/// assert!(table.begin_question(now, key));
/// assert!(!table.begin_question(now, key));
/// assert!(table.begin_question(now + Duration::from_millis(300), key));
/// table.record(now, key, Departure::AfterRuns);
/// assert_eq!(table.find(key), Some(Departure::AfterRuns));
/// ```
#[derive(Debug, Default)]
pub struct Table {
    endpoints: Map<EndpointKey, Question>,
}

/// The last question to an endpoint.
#[derive(Debug)]
struct Question {
    asked_at: Instant,
    /// The answer, `None` as long as the endpoint has not said that it drains.
    departure: Option<Departure>,
}

impl Table {
    /// Returns what an endpoint has said of its exit.
    pub fn find(&self, key: EndpointKey) -> Option<Departure> {
        self.endpoints.get(&key)?.departure
    }

    /// Returns whether to ask an endpoint now: it has not said that it drains, and was not asked
    /// shortly before.
    pub fn begin_question(&mut self, now: Instant, key: EndpointKey) -> bool {
        let age = |question: &Question| now.saturating_duration_since(question.asked_at);
        let is_due = |question: &Question| {
            question.departure.is_none() && age(question) >= QUESTION_INTERVAL
        };
        if !self.endpoints.get(&key).is_none_or(is_due) {
            return false;
        }
        self.endpoints
            .retain(|_, question| age(question) < QUESTION_LIFETIME);
        let question = Question {
            asked_at: now,
            departure: None,
        };
        self.endpoints.insert(key, question);
        true
    }

    /// Records what an endpoint says of its exit.
    pub fn record(&mut self, now: Instant, key: EndpointKey, departure: Departure) {
        let question = Question {
            asked_at: now,
            departure: Some(departure),
        };
        self.endpoints.insert(key, question);
    }
}
