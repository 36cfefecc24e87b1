//! Claims of idempotency keys: appended in batches, read back in log order.

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

/// Longest time that a claim waits for others to share its record.
const LINGER: Duration = Duration::from_millis(10);

/// Most claims in one record.
const BATCH: usize = 256;

/// Most claims that wait for a record.
const QUEUE: usize = 4096;

/// Longest time until a claim is settled.
const PATIENCE: Duration = Duration::from_secs(5);

/// Appends of one record whose answers got lost.
const TRIES: u32 = 2;

/// What an entry knows of claims.
#[derive(Debug)]
pub struct Claims {
    /// First claims in log order.
    table: Mutex<Table>,
    /// Offset behind the last record read.
    end: watch::Sender<u64>,
    /// Claims to append.
    queue: mpsc::Sender<Append>,
}

/// A claim to append.
#[derive(Debug)]
pub struct Append {
    /// The claim.
    claim: Claim,
    /// Told when it certainly is or will not be used.
    answer: oneshot::Sender<Result<(), Code>>,
}

impl Claims {
    /// An empty table, and the claims that [`append`] is to take.
    pub fn new() -> (Arc<Self>, mpsc::Receiver<Append>) {
        let (queue, appends) = mpsc::channel(QUEUE);
        let claims = Self {
            table: Mutex::new(Table::new(MAX_CLAIMS)),
            end: watch::Sender::new(0),
            queue,
        };
        (Arc::new(claims), appends)
    }

    /// The log's end as far as it was read.
    pub fn position(&self) -> u64 {
        self.lock().end()
    }

    /// The claim that counts, if it was read already.
    pub fn known(&self, key: &Key) -> Option<Winner> {
        match self.lock().lookup(key.digest, key.position) {
            Lookup::Won(winner) => Some(winner),
            Lookup::Free | Lookup::Expired | Lookup::Ahead => None,
        }
    }

    /// Claims a key and returns the first claim in log order, which may be
    /// another's.
    ///
    /// # Errors
    ///
    /// [`Code::KeyExpired`] for a key that is too old, [`Code::LogDown`] when
    /// the claim could not be settled; it is not used then.
    pub async fn claim(&self, key: &Key, claim: Claim) -> Result<Winner, Code> {
        let settled = tokio::time::timeout(PATIENCE, self.settle(key, claim)).await;
        settled.unwrap_or(Err(Code::LogDown))
    }

    /// As [`Claims::claim`], without a limit of time. The claim is settled
    /// when it is read; an append's lost answer does not matter.
    async fn settle(&self, key: &Key, claim: Claim) -> Result<Winner, Code> {
        let mut end = self.end.subscribe();
        let mut claim = Some(claim);
        let mut answer = None;
        loop {
            // Marked as seen before the look, so that no change is missed.
            end.borrow_and_update();
            let lookup = self.lock().lookup(key.digest, key.position);
            match lookup {
                Lookup::Won(winner) => return Ok(winner),
                Lookup::Expired => return Err(Code::KeyExpired),
                Lookup::Ahead => {}
                Lookup::Free => {
                    if let Some(claim) = claim.take() {
                        answer = Some(self.enqueue(claim)?);
                    }
                }
            }
            let failed = async {
                match &mut answer {
                    Some(answer) => answer.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = end.changed() => changed.map_err(|_| Code::LogDown)?,
                failed = failed => {
                    failed.unwrap_or(Err(Code::LogDown))?;
                    answer = None;
                }
            }
        }
    }

    /// Puts a claim in the queue.
    fn enqueue(&self, claim: Claim) -> Result<oneshot::Receiver<Result<(), Code>>, Code> {
        let (answer, receiver) = oneshot::channel();
        let append = Append { claim, answer };
        self.queue.try_send(append).map_err(|_| Code::LogDown)?;
        Ok(receiver)
    }

    /// The table.
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

/// Appends claims for ever, one record at a time, so that claims gather while
/// an append is under way.
pub async fn append<L: Log>(log: L, mut queue: mpsc::Receiver<Append>, metrics: Metrics) {
    while let Some(first) = queue.recv().await {
        let mut batch = vec![first];
        let linger = tokio::time::sleep(LINGER);
        let mut linger = std::pin::pin!(linger);
        while batch.len() < BATCH {
            tokio::select! {
                Some(next) = queue.recv() => batch.push(next),
                () = &mut linger => break,
            }
        }
        // One that was given up is not worth a row in every table.
        batch.retain(|append| !append.answer.is_closed());
        if batch.is_empty() {
            continue;
        }
        metrics.count("claim.records");
        metrics.add("claim.claims", batch.len() as u64);
        let result = write(&log, &batch, &metrics).await;
        for append in batch {
            // The claimer may have seen its claim already.
            let _ = append.answer.send(result);
        }
    }
}

/// Appends one record. When the answer is lost the same record is appended
/// again: its second copy changes nothing.
async fn write<L: Log>(log: &L, batch: &[Append], metrics: &Metrics) -> Result<(), Code> {
    let claims = batch.iter().map(|append| append.claim.clone());
    let record = Record::Claims(Batch {
        claims: claims.collect(),
    });
    let record = serde_json::to_vec(&record).map_err(|_| Code::LogDown)?;
    for _ in 0..TRIES {
        if batch.iter().all(|append| append.answer.is_closed()) {
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
