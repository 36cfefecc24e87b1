//! Answers of an engine as server-sent events.

use bytes::Bytes;
use serde_json::json;

use cranberryridge::wire::id::Digest;

pub(super) struct Answer {
    /// The request's id.
    pub(super) id: String,
    /// Seed of the generated text.
    pub(super) seed: u64,
    pub(super) answer_tokens: u64,
    pub(super) prompt_tokens: u64,
    /// Whether the request came through the chat API.
    pub(super) chat: bool,
    /// Whether the caller requested a usage event.
    pub(super) include_usage: bool,
}

impl Answer {
    /// Returns the event of one token.
    pub(super) fn token_event(&self, position: u64) -> Bytes {
        let text = token_text(self.seed, position);
        let finish = (position + 1 == self.answer_tokens).then_some("length");
        let choice = if self.chat && position == 0 {
            json!({ "index": 0, "delta": { "role": "assistant", "content": text }, "finish_reason": finish })
        } else if self.chat {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": finish })
        };
        let object = self.object_type();
        let event = json!({ "id": self.id, "object": object, "choices": [choice] });
        Bytes::from(format!("data: {event}\n\n"))
    }

    /// Returns the usage event, which has no choices, as the API defines it.
    pub(super) fn usage_event(&self) -> Bytes {
        let usage = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.answer_tokens,
            "total_tokens": self.prompt_tokens + self.answer_tokens,
        });
        let object = self.object_type();
        let event = json!({ "id": self.id, "object": object, "choices": [], "usage": usage });
        Bytes::from(format!("data: {event}\n\n"))
    }

    /// Returns the value of the event's `object` field.
    fn object_type(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }
}

/// Returns the text that an engine answers a prompt with.
///
/// # Examples
///
/// ```
/// assert!(cranberryridge_standin::engine::expected_answer("hello", 2).ends_with(".1 "));
/// ```
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    let seed = seed(prompt);
    (0..tokens)
        .map(|position| token_text(seed, position))
        .collect()
}

/// Returns the text of one token.
fn token_text(seed: u64, position: u64) -> String {
    format!("{seed}.{position} ")
}

/// Returns the seed of the answer to a prompt.
pub(super) fn seed(prompt: &str) -> u64 {
    Digest::of(&[prompt.as_bytes()]).0[0] % 100_000
}
