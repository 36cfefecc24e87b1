//! Endpoint whose answers to some calls never end.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

use cranberryridge::net::{Listen, Net};

/// Bytes after which a connection stays open and sends nothing more, so that a test of a
/// reader without a bound ends.
pub const MAX_SENT_BYTES: usize = 32 * 1024 * 1024;

/// Size of one write of a flood without pauses.
const WRITE_BYTES: usize = 16 * 1024;

/// Length of a request head without its empty line at which reading it ends.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Text in the beginning of an answer that stands for the id of the attempt that it answers.
pub const ATTEMPT: &str = "{attempt}";

/// Which calls get an answer without end, and what it consists of.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Text in the requests that get the answer. All others are passed on to the endpoint
    /// behind. If empty, each connection gets it without a request.
    pub trigger: String,
    /// Beginning of the answer, in which [`ATTEMPT`] is replaced.
    pub prefix: String,
    /// Repeated until the caller closes the connection.
    pub filler: String,
    /// Pause before each repetition.
    pub pause: Duration,
}

/// An answer without end.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Name in messages of tests.
    pub name: &'static str,
    /// Beginning of the answer.
    pub prefix: String,
    /// Repeated without end.
    pub filler: &'static str,
}

impl Answer {
    /// Returns settings that send the answer to calls with `trigger`.
    pub fn settings(&self, trigger: &str, pause: Duration) -> Settings {
        Settings {
            trigger: trigger.into(),
            prefix: self.prefix.clone(),
            filler: self.filler.into(),
            pause,
        }
    }
}

/// A chunk of 32 bytes.
const CHUNK: &str = "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";

/// Answers whose head or body has no end. `head` is a head without the empty line.
pub fn endless_answers(head: &str) -> Vec<Answer> {
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let answers = [
        ("header", format!("{head}x-filler: "), "a"),
        ("headers", head.into(), "x-filler: a\r\n"),
        (
            "interim heads",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
        ("no head", String::new(), "\0"),
        ("body", format!("{head}\r\n"), "a"),
        (
            "length",
            format!("{head}content-length: 99999999999\r\n\r\n"),
            "a",
        ),
        ("chunks", format!("{head}{chunked}"), CHUNK),
        ("extension", format!("{head}{chunked}1;"), "a"),
        ("trailers", format!("{head}{chunked}0\r\n"), "x: a\r\n"),
    ];
    let answers = answers.into_iter().map(|(name, prefix, filler)| Answer {
        name,
        prefix,
        filler,
    });
    answers.collect()
}

/// Pauses before each repetition: without, and slower than a caller waits.
const PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(50)];

/// Runs a test for each answer, without and with pauses, each on a thread of its own. The
/// test gets a name of the case.
///
/// # Panics
///
/// If a case panics.
pub fn run_cases(answers: Vec<Answer>, test: impl Fn(Answer, Duration, String) + Sync) {
    let cases = answers
        .iter()
        .flat_map(|answer| PAUSES.map(|pause| (answer, pause)));
    let run = |answer: &Answer, pause: Duration| {
        let case = format!("{}, {pause:?}", answer.name);
        test(answer.clone(), pause, case);
    };
    let failed = std::thread::scope(|scope| {
        let threads = cases.map(|(answer, pause)| scope.spawn(move || run(answer, pause)));
        let threads = threads.collect::<Vec<_>>();
        let ended = threads.into_iter().map(|thread| thread.join());
        ended.filter(Result::is_err).count()
    });
    assert_eq!(failed, 0, "failed cases, see above");
}

/// An endpoint in front of another one. Clones share their counts.
#[derive(Clone, Debug, Default)]
pub struct Flood {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Answers without end that were begun.
    answers: AtomicUsize,
    /// Beginnings of the answers without end whose connection is open, by number.
    open: Mutex<BTreeMap<usize, Instant>>,
    /// Longest time that a connection was open.
    longest_open: Mutex<Duration>,
    /// Most bytes that one connection took.
    max_sent_bytes: AtomicUsize,
    /// Bytes that the open connections took.
    open_bytes: AtomicUsize,
    /// Most bytes that the connections open at one time took.
    max_open_bytes: AtomicUsize,
}

impl Flood {
    /// Listens at an address, and passes other calls on to `behind`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn start<N: Net>(
        net: &N,
        at: SocketAddr,
        behind: SocketAddr,
        settings: Settings,
    ) -> io::Result<Self> {
        let flood = Self::default();
        let mut listener = net.bind(at).await?;
        let (counts, net) = (flood.counts.clone(), net.clone());
        tokio::spawn(async move {
            while let Ok(stream) = listener.accept().await {
                let (net, settings, counts) = (net.clone(), settings.clone(), counts.clone());
                // A broken connection ends its own task only.
                tokio::spawn(async move { serve(&net, stream, behind, &settings, &counts).await });
            }
        });
        Ok(flood)
    }

    /// Returns the number of answers without end that were begun.
    pub fn answer_count(&self) -> usize {
        self.counts.answers.load(Ordering::SeqCst)
    }

    /// Returns the number of answers without end whose connection is open.
    pub fn open_count(&self) -> usize {
        lock(&self.counts.open).len()
    }

    /// Returns the longest time for which a connection of an answer without end was or is
    /// open.
    pub fn longest_open(&self) -> Duration {
        let open = lock(&self.counts.open);
        let open = open.values().map(Instant::elapsed).max();
        open.unwrap_or_default()
            .max(*lock(&self.counts.longest_open))
    }

    /// Returns the most bytes that one connection took.
    pub fn max_sent_bytes(&self) -> usize {
        self.counts.max_sent_bytes.load(Ordering::SeqCst)
    }

    /// Returns the most bytes that the connections open at one time took.
    pub fn max_open_bytes(&self) -> usize {
        self.counts.max_open_bytes.load(Ordering::SeqCst)
    }
}

/// Serves one connection.
async fn serve<N: Net>(
    net: &N,
    mut stream: N::Stream,
    behind: SocketAddr,
    settings: &Settings,
    counts: &Counts,
) -> io::Result<()> {
    let request = if settings.trigger.is_empty() {
        Vec::new()
    } else {
        read_request(&mut stream).await?
    };
    if !String::from_utf8_lossy(&request).contains(&settings.trigger) {
        let mut onward = net.connect(behind).await?;
        onward.write_all(&request).await?;
        tokio::io::copy_bidirectional(&mut stream, &mut onward).await?;
        return Ok(());
    }
    let number = counts.answers.fetch_add(1, Ordering::SeqCst);
    let began_at = Instant::now();
    lock(&counts.open).insert(number, began_at);
    let prefix = settings.prefix.replace(ATTEMPT, &attempt_id(&request));
    send_without_end(stream, &prefix, settings, counts).await;
    lock(&counts.open).remove(&number);
    let mut longest_open = lock(&counts.longest_open);
    *longest_open = began_at.elapsed().max(*longest_open);
    Ok(())
}

/// Locks a mutex and ignores poisoning, as counts stay usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends the answer until the caller closes the connection.
async fn send_without_end<S>(stream: S, prefix: &str, settings: &Settings, counts: &Counts)
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite,
{
    let (mut reader, mut writer) = tokio::io::split(stream);
    let sent = AtomicUsize::new(0);
    let send = async {
        let filler = if settings.pause.is_zero() {
            let count = WRITE_BYTES.div_ceil(settings.filler.len().max(1));
            settings.filler.repeat(count)
        } else {
            settings.filler.clone()
        };
        let mut written = writer.write_all(prefix.as_bytes()).await;
        while written.is_ok() && sent.load(Ordering::SeqCst) < MAX_SENT_BYTES {
            tokio::time::sleep(settings.pause).await;
            written = writer.write_all(filler.as_bytes()).await;
            let total = sent.fetch_add(filler.len(), Ordering::SeqCst) + filler.len();
            counts.max_sent_bytes.fetch_max(total, Ordering::SeqCst);
            let open = counts.open_bytes.fetch_add(filler.len(), Ordering::SeqCst);
            let open = open + filler.len();
            counts.max_open_bytes.fetch_max(open, Ordering::SeqCst);
        }
        if written.is_ok() {
            std::future::pending::<()>().await;
        }
    };
    let closed = async {
        let mut rest = [0; 1024];
        while matches!(reader.read(&mut rest).await, Ok(1..)) {}
    };
    tokio::select! {
        () = send => {}
        () = closed => {}
    }
    let sent = sent.load(Ordering::SeqCst);
    counts.open_bytes.fetch_sub(sent, Ordering::SeqCst);
}

/// Returns the id of the attempt that a request is, or nothing if it has none.
fn attempt_id(request: &[u8]) -> String {
    let request = String::from_utf8_lossy(request);
    let mut lines = request.lines().map(|line| line.split_once(": "));
    let id = lines.find_map(|line| line.filter(|(name, _)| *name == "attempt-id"));
    id.map(|(_, id)| id.to_owned()).unwrap_or_default()
}

/// Reads a request with its body.
pub(crate) async fn read_request<S: tokio::io::AsyncRead + Unpin>(
    stream: &mut S,
) -> io::Result<Vec<u8>> {
    let mut request = Vec::new();
    while request.len() < MAX_REQUEST_BYTES {
        if stream.read_buf(&mut request).await? == 0 {
            break;
        }
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        let Some(head_end) = text.find("\r\n\r\n") else {
            continue;
        };
        let length = text[..head_end].lines().find_map(|line| {
            let value = line.strip_prefix("content-length:")?;
            value.trim().parse::<usize>().ok()
        });
        if request.len() >= head_end + 4 + length.unwrap_or(0) {
            break;
        }
    }
    Ok(request)
}
