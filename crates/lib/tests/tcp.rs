//! Tests of the network over TCP.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::timeout;

use cranberryridge::net::{Listen, Net, Tcp};

/// Callers that connect at once.
const CALLERS: usize = 800;

/// Time in which a caller is connected.
const CONNECT_TIME: Duration = Duration::from_secs(5);

// The kernel dropped what did not fit in a short queue, and callers repeat after 1, 3 and 7 s.
#[tokio::test]
async fn many_callers_at_once_find_room_before_they_are_accepted() {
    let at = "127.0.0.1:0".parse().unwrap();
    let listener = Tcp.bind(at).await.unwrap();
    let address = listener.address();
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(async move { timeout(CONNECT_TIME, Tcp.connect(address)).await });
    }
    let results = callers.join_all().await;
    let connected = results.iter().filter(|result| matches!(result, Ok(Ok(_))));
    assert_eq!(connected.count(), CALLERS);
}

// A listener that does not share its address with closed connections could not restart at once.
#[tokio::test]
async fn an_address_is_free_again_after_its_connections_closed() {
    let at = "127.0.0.1:0".parse().unwrap();
    let mut listener = Tcp.bind(at).await.unwrap();
    let address = listener.address();
    let caller = Tcp.connect(address).await.unwrap();
    drop(listener.accept().await.unwrap());
    drop(caller);
    drop(listener);
    Tcp.bind(address).await.unwrap();
}
