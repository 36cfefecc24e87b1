//! Endpoint whose first answers are given byte by byte.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::AsyncWriteExt;

use cranberryridge::net::{Listen, Net};

use crate::flood::read_request;

/// Answers to the next requests with a text. Clones share them, so that several endpoints
/// give them in turn.
#[derive(Clone, Debug)]
pub struct Script {
    /// Text in the requests that get an answer.
    trigger: Arc<str>,
    answers: Arc<Mutex<VecDeque<Vec<u8>>>>,
}

impl Script {
    /// Creates a script of answers, after each of which the connection is closed.
    pub fn new(trigger: &str, answers: impl IntoIterator<Item = Vec<u8>>) -> Self {
        Self {
            trigger: trigger.into(),
            answers: Arc::new(Mutex::new(answers.into_iter().collect())),
        }
    }

    /// Returns the number of answers that have not been given.
    pub fn remaining(&self) -> usize {
        self.lock().len()
    }

    /// Listens at an address. Passes all other requests on to the endpoint `behind`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn start<N: Net>(
        &self,
        net: &N,
        at: SocketAddr,
        behind: SocketAddr,
    ) -> io::Result<()> {
        let mut listener = net.bind(at).await?;
        let (script, net) = (self.clone(), net.clone());
        tokio::spawn(async move {
            while let Ok(stream) = listener.accept().await {
                let (script, net) = (script.clone(), net.clone());
                // A broken connection ends its own task only.
                tokio::spawn(async move { script.serve(&net, stream, behind).await });
            }
        });
        Ok(())
    }

    /// Serves one connection.
    async fn serve<N: Net>(
        &self,
        net: &N,
        mut stream: N::Stream,
        behind: SocketAddr,
    ) -> io::Result<()> {
        let request = read_request(&mut stream).await?;
        let is_triggered = String::from_utf8_lossy(&request).contains(&*self.trigger);
        let answer = is_triggered.then(|| self.lock().pop_front()).flatten();
        if let Some(answer) = answer {
            stream.write_all(&answer).await?;
            return stream.shutdown().await;
        }
        let mut onward = net.connect(behind).await?;
        onward.write_all(&request).await?;
        tokio::io::copy_bidirectional(&mut stream, &mut onward).await?;
        Ok(())
    }

    /// Locks the answers. A panic can't leave them inconsistent.
    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<Vec<u8>>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
