//! Claims of idempotency keys, appended to the log in batches and read back in log
//! order.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};

use cranberryridge_policy::claim::{Lookup, Table, Winner, MAX_CLAIMS};
use cranberryridge_wire::code::Code;
use cranberryridge_wire::record::{Batch, Claim, Record};

use super::keys::Key;
use crate::config::Sink;
use crate::metrics::Metrics;
use crate::platform::log::{Error, Log, Page};

/// Maximum time that a claim waits for others to share its record.
const MAX_LINGER: Duration = Duration::from_millis(10);

const MAX_BATCH_CLAIMS: usize = 256;

const MAX_QUEUED_CLAIMS: usize = 4096;

/// Maximum time from the call of [`Claims::claim`] until the claim is read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of appends of one record if their answers are lost.
const MAX_APPENDS: u32 = 2;

/// The claims that an entry has read or is about to append.
#[derive(Debug)]
pub struct Claims {
    /// First claim of each key in log order.
    table: Mutex<Table>,
    /// Offset after the last record read.
    end: watch::Sender<u64>,
    queue: mpsc::Sender<Append>,
}

/// A claim that waits to be appended.
#[derive(Debug)]
pub struct Append {
    claim: Claim,
    /// Receives `Ok` once the claim is in the log. Receives an error if the append
    /// failed or its outcome is unclear.
    outcome: oneshot::Sender<Result<(), Code>>,
}

impl Claims {
    /// Creates an empty table and the queue of claims for [`append`].
    pub fn new() -> (Arc<Self>, mpsc::Receiver<Append>) {
        let (queue, appends) = mpsc::channel(MAX_QUEUED_CLAIMS);
        let claims = Self {
            table: Mutex::new(Table::new(MAX_CLAIMS)),
            end: watch::Sender::new(0),
            queue,
        };
        (Arc::new(claims), appends)
    }

    /// Returns the offset after the last record read.
    pub fn position(&self) -> u64 {
        self.lock().end()
    }

    /// Returns the winning claim of a key if it was already read.
    pub fn find(&self, key: &Key) -> Option<Winner> {
        match self.lock().lookup(key.digest, key.position) {
            Lookup::Won(winner) => Some(winner),
            Lookup::Free | Lookup::Expired | Lookup::Ahead => None,
        }
    }

    /// Claims a key and returns its first claim in log order, which may be that of
    /// another request.
    ///
    /// # Errors
    ///
    /// [`Code::KeyExpired`] if the key is older than the known claims;
    /// [`Code::LogDown`] if the claim was not appended or not settled in time, in which
    /// case it must not be used.
    pub async fn claim(&self, key: &Key, claim: Claim) -> Result<Winner, Code> {
        let settled = tokio::time::timeout(CLAIM_TIMEOUT, self.settle(key, claim)).await;
        settled.unwrap_or(Err(Code::LogDown))
    }

    /// Does the work of [`Claims::claim`] without a time limit. A claim is settled once
    /// it is read back, even if its append has not been answered yet.
    async fn settle(&self, key: &Key, claim: Claim) -> Result<Winner, Code> {
        let mut end = self.end.subscribe();
        let mut claim = Some(claim);
        let mut outcome = None;
        loop {
            // Marks the end as seen before the lookup, so that no later change is
            // missed.
            end.borrow_and_update();
            let lookup = self.lock().lookup(key.digest, key.position);
            match lookup {
                Lookup::Won(winner) => return Ok(winner),
                Lookup::Expired => return Err(Code::KeyExpired),
                Lookup::Ahead => {}
                Lookup::Free => {
                    if let Some(claim) = claim.take() {
                        outcome = Some(self.enqueue(claim)?);
                    }
                }
            }
            let appended = async {
                match &mut outcome {
                    Some(outcome) => outcome.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = end.changed() => changed.map_err(|_| Code::LogDown)?,
                appended = appended => {
                    appended.unwrap_or(Err(Code::LogDown))?;
                    outcome = None;
                }
            }
        }
    }

    /// Queues a claim. Fails if the queue is full.
    fn enqueue(&self, claim: Claim) -> Result<oneshot::Receiver<Result<(), Code>>, Code> {
        let (outcome, receiver) = oneshot::channel();
        let append = Append { claim, outcome };
        self.queue.try_send(append).map_err(|_| Code::LogDown)?;
        Ok(receiver)
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sink for Claims {
    fn handle_page(&self, page: &Page) {
        let mut table = self.lock();
        for entry in &page.records {
            if let Ok(Record::Claims(batch)) = serde_json::from_str::<Record>(&entry.data) {
                table.apply(entry.offset, &batch);
            }
            table.advance(entry.offset + 1);
        }
        let end = table.end();
        drop(table);
        self.end.send_replace(end);
    }

    fn handle_trim(&self, first: u64) {
        let mut table = self.lock();
        table.trim(first);
        let end = table.end();
        drop(table);
        self.end.send_replace(end);
    }
}

/// Appends queued claims in a loop, one record at a time, so that claims accumulate
/// while an append is in progress.
pub async fn append<L: Log>(log: L, mut queue: mpsc::Receiver<Append>, metrics: Metrics) {
    while let Some(first) = queue.recv().await {
        let mut batch = vec![first];
        let linger = tokio::time::sleep(MAX_LINGER);
        let mut linger = std::pin::pin!(linger);
        while batch.len() < MAX_BATCH_CLAIMS {
            tokio::select! {
                Some(next) = queue.recv() => batch.push(next),
                () = &mut linger => break,
            }
        }
        // A claim whose request gave up has no use, but would take up memory in
        // every entry.
        batch.retain(|append| !append.outcome.is_closed());
        if batch.is_empty() {
            continue;
        }
        metrics.count("claim.records");
        metrics.add("claim.claims", batch.len() as u64);
        let result = append_record(&log, &batch, &metrics).await;
        for append in batch {
            // The request may already have read its claim from the log.
            let _ = append.outcome.send(result);
        }
    }
}

/// Appends one record. If the answer is lost, the same record is appended again, as a
/// second copy changes nothing.
async fn append_record<L: Log>(log: &L, batch: &[Append], metrics: &Metrics) -> Result<(), Code> {
    let claims = batch.iter().map(|append| append.claim.clone());
    let record = Record::Claims(Batch {
        claims: claims.collect(),
    });
    let record = serde_json::to_vec(&record).map_err(|_| Code::LogDown)?;
    for _ in 0..MAX_APPENDS {
        if batch.iter().all(|append| append.outcome.is_closed()) {
            break;
        }
        match log.append(record.clone()).await {
            Ok(_) => return Ok(()),
            Err(Error::Unclear(_)) => metrics.count("claim.unclear"),
            Err(_) => return Err(Code::LogDown),
        }
    }
    Err(Code::LogDown)
}
