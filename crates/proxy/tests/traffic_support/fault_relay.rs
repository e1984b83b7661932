//! A TCP relay in front of a target that injects faults: it delays responses, closes connections, and delays
//! or corrupts the position of commits.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use super::SETTLE_TIME;

/// The name of the ParameterStatus parameter that carries a commit's position.
const COMMIT_PARAMETER: &[u8] = b"group.commit";

/// The length of a message's type and length fields, which precede the parameter's name.
const FRAME_HEADER_BYTES: usize = 5;

/// The faults that a relay currently injects.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Mode {
    /// The target's responses are held back.
    pub hold_responses: bool,
    /// A counter of which each change closes all connections accepted before it.
    pub generation: u32,
    /// New connections are closed immediately.
    pub refuse: bool,
    /// The bytes before a commit's position are relayed [`SETTLE_TIME`] before the position.
    pub split_commits: bool,
    /// A commit's position is overwritten so that it can't be parsed.
    pub garble_commits: bool,
}

/// A running relay to one target.
pub struct FaultRelay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// The generation at which each open connection was accepted.
    open_generations: Arc<Mutex<Vec<u32>>>,
}

impl FaultRelay {
    pub async fn start(target: SocketAddr) -> FaultRelay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let mode = watch::Sender::new(Mode::default());
        let mode_sender = mode.clone();
        let open_generations: Arc<Mutex<Vec<u32>>> = Arc::default();
        let opened = Arc::clone(&open_generations);
        tokio::spawn(async move {
            while let Ok((client_stream, _)) = listener.accept().await {
                // Read before connecting to the target, so that closing the connections meanwhile also closes
                // this one.
                let accepted_mode = *mode_sender.borrow();
                if accepted_mode.refuse {
                    continue;
                }
                let Ok(target_stream) = TcpStream::connect(target).await else { continue };
                opened.lock().push(accepted_mode.generation);
                let (mode_sender, opened) = (mode_sender.clone(), Arc::clone(&opened));
                tokio::spawn(async move {
                    relay_connection(
                        client_stream,
                        target_stream,
                        mode_sender,
                        accepted_mode.generation,
                    )
                    .await;
                    let mut opened = opened.lock();
                    let entry = opened
                        .iter()
                        .position(|generation| *generation == accepted_mode.generation);
                    opened.swap_remove(entry.expect("each open connection has an entry"));
                });
            }
        });
        FaultRelay { address, mode, open_generations }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds the target's responses back, or releases them.
    pub fn hold_responses(&self, hold: bool) {
        self.mode.send_modify(|mode| mode.hold_responses = hold);
    }

    /// Relays the bytes before each commit's position [`SETTLE_TIME`] before the position.
    pub fn split_commits(&self) {
        self.mode.send_modify(|mode| mode.split_commits = true);
    }

    /// Overwrites each commit's position so that it can't be parsed.
    pub fn garble_commits(&self) {
        self.mode.send_modify(|mode| mode.garble_commits = true);
    }

    /// Closes all connections and waits until they are closed. New ones are accepted.
    pub async fn close_connections(&self) {
        self.mode.send_modify(|mode| mode.generation += 1);
        self.wait_for_old_connections_to_close().await;
    }

    async fn wait_for_old_connections_to_close(&self) {
        let generation = self.mode.borrow().generation;
        let all_closed =
            || self.open_generations.lock().iter().all(|accepted| *accepted >= generation);
        super::eventually("all connections are closed", all_closed).await;
    }

    /// Closes all connections and, if `refuse` is set, closes each new one immediately.
    pub async fn refuse(&self, refuse: bool) {
        self.mode.send_modify(|mode| {
            mode.refuse = refuse;
            mode.generation += 1;
        });
        self.wait_for_old_connections_to_close().await;
    }
}

async fn relay_connection(
    client_stream: TcpStream,
    target_stream: TcpStream,
    mode_sender: watch::Sender<Mode>,
    accepted_generation: u32,
) {
    client_stream.set_nodelay(true).expect("a socket option");
    target_stream.set_nodelay(true).expect("a socket option");
    let (client_read, client_write) = client_stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let mut mode_changes = mode_sender.subscribe();
    tokio::select! {
        () = copy(client_read, target_write, None) => (),
        () = copy(target_read, client_write, Some(mode_sender.subscribe())) => (),
        _ = mode_changes.wait_for(|mode| mode.generation != accepted_generation) => (),
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    response_mode: Option<watch::Receiver<Mode>>,
) {
    let mut bytes = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let commit_offset = bytes[..count]
            .windows(COMMIT_PARAMETER.len())
            .position(|window| window == COMMIT_PARAMETER);
        let garble = response_mode
            .as_ref()
            .is_some_and(|response_mode| response_mode.borrow().garble_commits);
        if let (true, Some(commit_offset)) = (garble, commit_offset) {
            bytes[commit_offset + COMMIT_PARAMETER.len() + 1] = b'?';
        }
        let mut rest = &bytes[..count];
        if let Some(mut response_mode) = response_mode.clone() {
            let _ = response_mode.wait_for(|mode| !mode.hold_responses).await;
            let split = response_mode.borrow().split_commits;
            if let (true, Some(commit_offset)) = (split, commit_offset) {
                let (before, after) = rest.split_at(commit_offset - FRAME_HEADER_BYTES);
                if to.write_all(before).await.is_err() {
                    return;
                }
                tokio::time::sleep(SETTLE_TIME).await;
                rest = after;
            }
        }
        if to.write_all(rest).await.is_err() {
            return;
        }
    }
}
