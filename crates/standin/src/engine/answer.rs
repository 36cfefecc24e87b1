//! What an engine answers, as server-sent events.

use bytes::Bytes;
use serde_json::json;

use cranberryridge::wire::id::Digest;

/// An answer to a prompt.
pub(super) struct Answer {
    /// The request.
    pub(super) id: String,
    /// What its words are made from.
    pub(super) seed: u64,
    /// Tokens of the answer.
    pub(super) answer_tokens: u64,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u64,
    /// Whether it is a chat.
    pub(super) chat: bool,
    /// Whether its usage is asked for.
    pub(super) include_usage: bool,
}

impl Answer {
    /// One token as a server-sent event.
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

    /// The usage, in an event without choices as the API has it.
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

    /// What the API calls an event.
    fn object_type(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }
}

/// The text that an engine answers a prompt with, for comparison.
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

/// One token's text.
fn token_text(seed: u64, position: u64) -> String {
    format!("{seed}.{position} ")
}

/// What the words of an answer to a prompt are made from.
pub(super) fn seed(prompt: &str) -> u64 {
    Digest::of(&[prompt.as_bytes()]).0[0] % 100_000
}
