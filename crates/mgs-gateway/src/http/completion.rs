//! Chat and plain completions, as JSON carries them.

use mgs_request::outcome::Refusal;
use mgs_schema::key::RequestId;
use mgs_schema::wire::Finished;
use mgs_schema::wire::RefusalReason;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;

/// Longest answer if the caller gives no bound, in tokens.
pub const DEFAULT_MAX_TOKENS: u64 = 256;

/// Longest answer that may be asked for, in tokens.
pub const MAX_TOKENS: u64 = 32_768;

/// Which of the two forms is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Content,
}

/// Text, or a list of parts of which those with text count.
#[derive(Debug, Default, Deserialize)]
#[serde(untagged)]
enum Content {
    #[default]
    Nothing,
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
struct Parameters {
    #[serde(default)]
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// A completion that is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// Its form.
    pub form: Form,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Longest answer, in tokens.
    pub max_tokens: u64,
    /// Whether the answer is wanted piece by piece.
    pub stream: bool,
}

fn bad(detail: &str) -> Refusal {
    Refusal::new(RefusalReason::BadRequest, detail)
}

impl Completion {
    /// Reads the JSON body of a completion.
    ///
    /// ```
    /// use mgs_gateway::http::completion::Completion;
    /// use mgs_gateway::http::completion::Form;
    ///
    /// let body = br#"{"model": "m", "prompt": "olives?"}"#;
    /// assert_eq!(Completion::parse(Form::Text, body).unwrap().prompt, "olives?");
    /// assert!(Completion::parse(Form::Chat, body).is_err());
    /// ```
    pub fn parse(form: Form, body: &[u8]) -> Result<Self, Refusal> {
        let parameters: Parameters =
            serde_json::from_slice(body).map_err(|error| bad(&format!("bad JSON: {error}")))?;
        if parameters.model.is_empty() {
            return Err(bad("`model` is missing"));
        }
        let prompt = match form {
            Form::Text => parameters
                .prompt
                .ok_or_else(|| bad("`prompt` is missing"))?,
            Form::Chat => {
                let messages = parameters.messages.unwrap_or_default();
                if messages.is_empty() {
                    return Err(bad("`messages` is missing"));
                }
                render(&messages)
            }
        };
        let max_tokens = parameters
            .max_tokens
            .or(parameters.max_completion_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_TOKENS {
            return Err(bad(&format!("`max_tokens` must be from 1 to {MAX_TOKENS}")));
        }
        Ok(Self {
            form,
            model: parameters.model,
            prompt,
            max_tokens,
            stream: parameters.stream,
        })
    }
}

fn render(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            Content::Nothing => {}
            Content::Text(text) => prompt.push_str(text),
            Content::Parts(parts) => {
                for part in parts {
                    prompt.push_str(&part.text);
                }
            }
        }
        prompt.push('\n');
    }
    prompt
}

/// Names an answer in each of its pieces.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its form.
    pub form: Form,
    /// The request.
    pub id: RequestId,
    /// Model.
    pub model: String,
    /// When it was made, in seconds since the Unix epoch.
    pub created_s: u64,
}

impl Answer {
    /// One piece of a streamed answer.
    pub fn piece(&self, text: &str) -> String {
        let choice = match self.form {
            Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.envelope(true, choice, None)
    }

    /// The last piece of a streamed answer, without text.
    pub fn last_piece(&self, finished: &Finished) -> String {
        let reason = &finished.finish_reason;
        let choice = match self.form {
            Form::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Form::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        self.envelope(true, choice, Some(usage(finished)))
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, finished: &Finished) -> String {
        let reason = &finished.finish_reason;
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        };
        self.envelope(false, choice, Some(usage(finished)))
    }

    /// The pieces of an answer that was kept whole; `None` if it isn't one.
    pub fn pieces(&self, whole: &str) -> Option<Vec<String>> {
        let whole: Value = serde_json::from_str(whole).ok()?;
        let choice = whole.get("choices")?.get(0)?;
        let text = match self.form {
            Form::Chat => choice.get("message")?.get("content")?.as_str()?,
            Form::Text => choice.get("text")?.as_str()?,
        };
        let reason = choice.get("finish_reason")?;
        let last = match self.form {
            Form::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Form::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        let last = self.envelope(true, last, whole.get("usage").cloned());
        Some(vec![self.piece(text), last])
    }

    fn envelope(&self, piece: bool, choice: Value, usage: Option<Value>) -> String {
        let object = match (self.form, piece) {
            (Form::Chat, true) => "chat.completion.chunk",
            (Form::Chat, false) => "chat.completion",
            (Form::Text, _) => "text_completion",
        };
        let mut answer = json!({
            "id": self.id.to_string(),
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            answer["usage"] = usage;
        }
        answer.to_string()
    }
}

fn usage(finished: &Finished) -> Value {
    json!({
        "prompt_tokens": finished.prompt_tokens,
        "completion_tokens": finished.generated_tokens,
        "total_tokens": finished.prompt_tokens + finished.generated_tokens,
        "prompt_tokens_details": {"cached_tokens": finished.cached_tokens},
    })
}
