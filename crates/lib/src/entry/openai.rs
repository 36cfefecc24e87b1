//! Requests and responses of the OpenAI-compatible API.

use bytes::Bytes;
use serde_json::{json, Map, Value};

use cranberryridge_policy::prefix;
use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::code::Code;

use crate::problem::Problem;

/// Assumed number of text bytes per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// The fields of a model request that the entry uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name of the requested service, or of the model that it serves.
    pub model: String,
    /// Whether the caller requests the answer as a stream.
    pub stream: bool,
    /// Whether the request is a chat completion.
    pub chat: bool,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; 0 if the caller set no limit.
    pub max_tokens: u32,
    /// Hashes of the prompt's blocks, starting with the first.
    pub block_hashes: Vec<u64>,
}

impl Request {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// [`Code::BadBody`] if the body is not JSON, or if the model or the prompt is
    /// missing; the detail names the cause.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge::entry::openai::Request;
    /// let request = Request::parse(br#"{"model":"m","prompt":"hello"}"#, false).unwrap();
    /// assert!(!request.stream);
    /// assert!(Request::parse(br#"{"prompt":"hello"}"#, false).is_err());
    /// ```
    pub fn parse(body: &[u8], chat: bool) -> Result<Self, Problem> {
        let bad = |text: String| Problem::with_detail(Code::BadBody, text);
        let value =
            serde_json::from_slice::<Value>(body).map_err(|error| bad(error.to_string()))?;
        let Some(model) = value["model"].as_str() else {
            return Err(bad("the field \"model\" is missing or not a string".into()));
        };
        let field = if chat { "messages" } else { "prompt" };
        let size = match &value[field] {
            Value::Null => return Err(bad(format!("the field {field:?} is missing"))),
            Value::Array(items) if items.is_empty() => {
                return Err(bad(format!("the field {field:?} is empty")));
            }
            Value::Array(items) if items.iter().all(Value::is_u64) => items.len() * BYTES_PER_TOKEN,
            prompt => text_size(prompt),
        };
        let max_tokens = ["max_completion_tokens", "max_tokens"];
        let max_tokens = max_tokens
            .iter()
            .find_map(|name| value[*name].as_u64())
            .unwrap_or(0);
        Ok(Self {
            model: model.to_owned(),
            stream: value["stream"].as_bool().unwrap_or(false),
            chat,
            prompt_tokens: u32::try_from(size.div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX),
            max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
            block_hashes: hash_prompt(&value[field]),
        })
    }
}

fn hash_prompt(prompt: &Value) -> Vec<u64> {
    match prompt {
        Value::String(text) => prefix::hash_blocks(text.as_bytes()),
        other => prefix::hash_blocks(other.to_string().as_bytes()),
    }
}

/// Number of text bytes in a value, including nested ones.
fn text_size(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(items) => items.iter().map(text_size).sum(),
        Value::Object(fields) => fields.values().map(text_size).sum(),
        _ => 0,
    }
}

/// Encodes the data of one server-sent event.
pub fn encode_event(data: &Blob) -> Bytes {
    let mut event = Vec::with_capacity(data.0.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(&data.0);
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Last event of a stream, as the OpenAI API defines it.
pub const DONE_EVENT: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Assembles the events of a streamed answer into one answer. Returns `None` if an
/// event is not a JSON object.
///
/// # Examples
///
/// ```
/// use cranberryridge::entry::openai::assemble;
/// let events = [
///     r#"{"id":"x","object":"text_completion","choices":[{"index":0,"text":"a"}]}"#.into(),
///     r#"{"id":"x","choices":[{"index":0,"text":"b","finish_reason":"stop"}]}"#.into(),
/// ];
/// let answer = assemble(&events, false).unwrap();
/// assert_eq!(answer["choices"][0]["text"], "ab");
/// ```
pub fn assemble(events: &[Blob], chat: bool) -> Option<Value> {
    let mut answer = Map::new();
    let mut choices = Vec::<Value>::new();
    for event in events {
        let Ok(Value::Object(event)) = serde_json::from_slice(event.as_slice()) else {
            return None;
        };
        for (name, value) in event {
            match (name.as_str(), value) {
                ("choices", Value::Array(pieces)) => {
                    pieces
                        .into_iter()
                        .for_each(|piece| merge_choice(&mut choices, piece, chat));
                }
                (_, Value::Null) => {}
                (_, value) => {
                    answer.insert(name, value);
                }
            }
        }
    }
    if chat {
        answer.insert("object".into(), json!("chat.completion"));
    }
    answer.insert("choices".into(), Value::Array(choices));
    Some(Value::Object(answer))
}

/// Merges a chunk of a choice into the choice with the same index.
fn merge_choice(choices: &mut Vec<Value>, piece: Value, chat: bool) {
    let index = piece["index"].as_u64().unwrap_or(0);
    let known = choices
        .iter()
        .position(|choice| choice["index"].as_u64() == Some(index));
    let position = known.unwrap_or_else(|| {
        choices.push(json!({ "index": index, "finish_reason": null }));
        choices.len() - 1
    });
    let Value::Object(fields) = piece else {
        return;
    };
    for (name, value) in fields {
        match (name.as_str(), value) {
            ("text", Value::String(text)) => append_text(&mut choices[position]["text"], &text),
            ("delta", Value::Object(delta)) if chat => {
                for (name, value) in delta {
                    merge_field(&mut choices[position]["message"][name], value);
                }
            }
            (_, Value::Null) => {}
            (name, value) => choices[position][name] = value,
        }
    }
}

/// Merges a field of a delta into a message: strings and arrays are appended, other
/// values replaced.
fn merge_field(known: &mut Value, value: Value) {
    match value {
        Value::Null => {}
        Value::String(text) if known.is_string() => append_text(known, &text),
        Value::Array(items) => match known {
            Value::Array(known) => known.extend(items),
            _ => *known = Value::Array(items),
        },
        value => *known = value,
    }
}

/// Appends text to a value, replacing a value that is not a string.
fn append_text(known: &mut Value, text: &str) {
    match known {
        Value::String(known) => known.push_str(text),
        _ => *known = Value::String(text.to_owned()),
    }
}
