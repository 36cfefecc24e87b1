//! Callers of streams on raw sockets, which take broken streams up at other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use cranberryridge_standin::stream::{Form, Held, Ledger};

/// Longest silence before a caller gives a try up.
const PATIENCE: Duration = Duration::from_secs(4);

/// Time for all tries of a stream.
const DEADLINE: Duration = Duration::from_secs(14);

/// Time to connect to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Tries of a caller for one stream.
const MAX_TRIES: usize = 3;

/// Time between two reads of a caller that reads slowly.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(400);

/// Bytes of a read of a caller that reads slowly.
const SLOW_READ_BYTES: usize = 80;

/// How the answer to a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It ended as complete.
    Complete,
    /// The connection was closed or reset before the end.
    Cut,
    /// It was no stream.
    Refused(u16),
    /// The caller left.
    Left,
    /// There was no connection or no head.
    NoAnswer,
}

/// A stream over all tries of its caller.
#[derive(Clone, Debug)]
pub struct Stream {
    pub name: String,
    pub total: u32,
    pub may_resume: bool,
    pub begun_at: Instant,
    /// Whole events, each with the empty line behind it.
    pub events: Vec<String>,
    /// How each try ended.
    pub ends: Vec<End>,
    /// Attempt that brought the first event.
    pub first_attempt: Option<String>,
    /// Time until each refusal, and the time that it names.
    pub refusals: Vec<(Duration, Duration)>,
}

/// How a caller behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manner {
    /// Whether it reads at a tenth of the pace.
    pub is_slow: bool,
    /// Whether it leaves after some pieces.
    pub leaves: bool,
    /// Whether it sends further requests on the same connection.
    pub keeps_connection: bool,
    /// Maximum number of tries, or 0 for the usual one.
    pub tries: usize,
    /// Whether it tries again at once, whatever it was told.
    pub returns_at_once: bool,
    /// Number of events after which the connection of a try breaks.
    pub breaks_after: Option<usize>,
}

impl Stream {
    /// Returns whether the last answer ended as complete.
    pub fn has_ended(&self) -> bool {
        self.ends.last() == Some(&End::Complete)
    }

    /// Returns what is wrong with the events that the caller holds.
    pub fn check(&self, ledger: &Ledger) -> Option<Form> {
        let events = self.events.iter().map(|event| (&self.name, event));
        ledger.check(&Held {
            events: &events.collect::<Vec<_>>(),
            total: self.total,
            has_ended: self.has_ended(),
            may_resume: self.may_resume,
        })
    }

    /// Plays the stream at random hosts.
    pub async fn play(&mut self, hosts: &[SocketAddr], manner: Manner) {
        self.play_on(&mut None, hosts, manner).await;
    }

    /// Plays the stream on a kept connection if there is one, and else at random hosts. Sets
    /// `kept` to the connection that may be used again.
    pub async fn play_on(
        &mut self,
        kept: &mut Option<TcpStream>,
        hosts: &[SocketAddr],
        manner: Manner,
    ) {
        self.play_via(kept, || hosts.to_vec(), manner).await;
    }

    /// Plays the stream as [`Self::play_on`] does, at one of the hosts that `hosts` returns
    /// before each try.
    pub async fn play_via(
        &mut self,
        kept: &mut Option<TcpStream>,
        hosts: impl Fn() -> Vec<SocketAddr>,
        manner: Manner,
    ) {
        let deadline = Instant::now() + DEADLINE;
        let tries = if manner.tries == 0 {
            MAX_TRIES
        } else {
            manner.tries
        };
        for _ in 0..tries {
            let attempt = format!("{}-{}", self.name, self.ends.len());
            let Some(host) = hosts().choose(&mut rand::rng()).copied() else {
                self.ends.push(End::NoAnswer);
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            let had_events = !self.events.is_empty();
            let request = self.request(&attempt, self.first_attempt.as_deref(), deadline);
            let mut wait = Duration::from_millis(100);
            let sent_at = Instant::now();
            let read = self.read(kept, host, &request, manner, &mut wait);
            let end = timeout_at(deadline, read).await.unwrap_or(End::Left);
            self.ends.push(end);
            if matches!(end, End::Refused(_)) {
                self.refusals.push((sent_at.elapsed(), wait));
            }
            if !had_events && !self.events.is_empty() {
                self.first_attempt = Some(attempt);
            }
            let may_try_again = match end {
                End::Complete => false,
                End::Refused(status) => matches!(status, 429 | 503),
                End::Cut | End::Left | End::NoAnswer => {
                    self.may_resume && !(manner.leaves && end == End::Left)
                }
            };
            if manner.returns_at_once {
                wait = Duration::ZERO;
            }
            if !may_try_again || Instant::now() + wait >= deadline {
                return;
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn request(&self, attempt: &str, first_attempt: Option<&str>, deadline: Instant) -> String {
        let route = if self.may_resume { "list" } else { "note" };
        let body = format!("{} {}", self.name, self.total);
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let mut resumes = String::new();
        if let (Some(first), Some(last)) = (first_attempt, self.events.last()) {
            let id = last
                .strip_prefix("id: ")
                .and_then(|rest| rest.lines().next());
            let id = id.unwrap_or_default();
            resumes = format!("last-event-id: {id}\r\nresumes: {first}\r\n");
        }
        format!(
            "POST /{route}/7 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {attempt}\r\n\
             deadline-ms: {left}\r\nmodel: m\r\ntoken-count: 3000,{}\r\n\
             prompt-prefix: a1:200,{}:2800\r\nlength-hint: {}\r\n{resumes}\
             content-length: {}\r\n\r\n{body}",
            160 * 11,
            self.name,
            self.total * 11,
            body.len()
        )
    }

    /// Sends a request and reads the answer. Sets `wait` if the answer names a time.
    async fn read(
        &mut self,
        kept: &mut Option<TcpStream>,
        host: SocketAddr,
        request: &str,
        manner: Manner,
        wait: &mut Duration,
    ) -> End {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match timeout(CONNECT_TIMEOUT, TcpStream::connect(host)).await {
                Ok(Ok(stream)) => stream,
                _ => return End::NoAnswer,
            },
        };
        if stream.write_all(request.as_bytes()).await.is_err() {
            return End::NoAnswer;
        }
        let mut leaves_at = usize::MAX;
        if manner.leaves {
            leaves_at = self.events.len() + rand::rng().random_range(0..20);
        }
        let mut answer = Answer::default();
        let mut rest = String::new();
        loop {
            let mut bytes = vec![
                0;
                if manner.is_slow {
                    SLOW_READ_BYTES
                } else {
                    16 * 1024
                }
            ];
            if manner.is_slow {
                tokio::time::sleep(SLOW_READ_INTERVAL).await;
            }
            let count = match timeout(PATIENCE, stream.read(&mut bytes)).await {
                Err(_) => return End::Left,
                Ok(Err(_)) => return answer.cut(),
                Ok(Ok(count)) => count,
            };
            if count == 0 {
                return answer.close();
            }
            let decoded = answer.push(&bytes[..count]);
            if let Some(status) = answer.status.filter(|status| *status != 200) {
                *wait = answer.retry_after.unwrap_or(*wait);
                return End::Refused(status);
            }
            rest += &String::from_utf8_lossy(&decoded);
            while let Some(end) = rest.find("\n\n") {
                let event = rest[..end + 2].to_owned();
                rest.drain(..end + 2);
                self.events.push(event);
            }
            if answer.is_whole {
                // Bytes behind the last event are no whole stream.
                return if rest.is_empty() && answer.buffer.is_empty() {
                    *kept = manner.keeps_connection.then_some(stream);
                    End::Complete
                } else {
                    End::Refused(0)
                };
            }
            if self.events.len() >= leaves_at {
                return End::Left;
            }
            if manner
                .breaks_after
                .is_some_and(|count| self.events.len() >= count)
            {
                return End::Cut;
            }
        }
    }
}

/// Answer of a host, as far as it has arrived.
#[derive(Debug, Default)]
struct Answer {
    buffer: Vec<u8>,
    status: Option<u16>,
    retry_after: Option<Duration>,
    is_chunked: bool,
    length: Option<usize>,
    is_whole: bool,
}

impl Answer {
    /// Adds bytes, and returns what they add to the body.
    fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        if self.status.is_none() {
            let Some(end) = find(&self.buffer, b"\r\n\r\n") else {
                return Vec::new();
            };
            let head = String::from_utf8_lossy(&self.buffer[..end]).to_lowercase();
            self.buffer.drain(..end + 4);
            let status = head
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok());
            self.status = Some(status.unwrap_or_default());
            self.is_chunked = head.contains("transfer-encoding: chunked");
            let field = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok())
            };
            self.length = field("content-length:").map(|length| length as usize);
            self.retry_after = field("retry-after:").map(Duration::from_secs_f64);
        }
        let mut body = Vec::new();
        if let Some(length) = self.length.as_mut().filter(|_| !self.is_chunked) {
            let count = self.buffer.len().min(*length);
            body.extend(self.buffer.drain(..count));
            *length -= count;
            self.is_whole = *length == 0;
            return body;
        }
        if !self.is_chunked {
            return std::mem::take(&mut self.buffer);
        }
        while let Some(line) = find(&self.buffer, b"\r\n") {
            let size = String::from_utf8_lossy(&self.buffer[..line]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return body;
            };
            if self.buffer.len() < line + 2 + size + 2 {
                return body;
            }
            body.extend_from_slice(&self.buffer[line + 2..line + 2 + size]);
            self.buffer.drain(..line + 2 + size + 2);
            if size == 0 {
                self.is_whole = true;
                return body;
            }
        }
        body
    }

    /// Returns what a close in order means.
    fn close(&self) -> End {
        match self.status {
            None => End::NoAnswer,
            Some(_) if !self.is_chunked && self.length.is_none() => End::Complete,
            Some(_) => End::Cut,
        }
    }

    /// Returns what a reset means.
    fn cut(&self) -> End {
        self.status.map_or(End::NoAnswer, |_| End::Cut)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
