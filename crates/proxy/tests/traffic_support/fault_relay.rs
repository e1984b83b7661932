//! A gate in front of a target: it holds answers back and cuts connections when told to.

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

/// The parameter that carries a commit's position, and what stands before it in its message.
const COMMIT_PARAMETER: &[u8] = b"group.commit";
const FRAME_HEADER_BYTES: usize = 5;

/// What a gate does now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Mode {
    /// Answers of the target are held back.
    pub hold_responses: bool,
    /// Each change cuts all connections.
    pub generation: u32,
    /// New connections are closed at once.
    pub refuse: bool,
    /// What comes before a commit's position is passed on some time before it.
    pub split_commits: bool,
    /// A commit's position arrives as something that is none.
    pub garble_commits: bool,
}

/// A gate.
pub struct FaultRelay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// The number of cuts before each open connection.
    open: Arc<Mutex<Vec<u32>>>,
}

impl FaultRelay {
    pub async fn start(target: SocketAddr) -> FaultRelay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let mode = watch::Sender::new(Mode::default());
        let modes = mode.clone();
        let open: Arc<Mutex<Vec<u32>>> = Arc::default();
        let opened = Arc::clone(&open);
        tokio::spawn(async move {
            while let Ok((client_stream, _)) = listener.accept().await {
                // A cut that comes while the way on is being opened cuts this connection too.
                let before = *modes.borrow();
                if before.refuse {
                    continue;
                }
                let Ok(target_stream) = TcpStream::connect(target).await else { continue };
                opened.lock().push(before.generation);
                let (modes, opened) = (modes.clone(), Arc::clone(&opened));
                tokio::spawn(async move {
                    relay_connection(client_stream, target_stream, modes, before.generation).await;
                    let mut opened = opened.lock();
                    let own = opened.iter().position(|generation| *generation == before.generation);
                    opened.swap_remove(own.expect("each connection is noted"));
                });
            }
        });
        FaultRelay { address, mode, open }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds the target's answers back, or lets them go.
    pub fn hold_responses(&self, hold: bool) {
        self.mode.send_modify(|mode| mode.hold_responses = hold);
    }

    /// Passes on what comes before a commit's position some time before it.
    pub fn split_commits(&self) {
        self.mode.send_modify(|mode| mode.split_commits = true);
    }

    /// Makes each commit's position unreadable.
    pub fn garble_commits(&self) {
        self.mode.send_modify(|mode| mode.garble_commits = true);
    }

    /// Cuts all connections.
    pub async fn close_connections(&self) {
        self.mode.send_modify(|mode| mode.generation += 1);
        self.wait_for_old_connections_to_close().await;
    }

    async fn wait_for_old_connections_to_close(&self) {
        let generation = self.mode.borrow().generation;
        let gone = || self.open.lock().iter().all(|before| *before >= generation);
        super::eventually("all connections are cut", gone).await;
    }

    /// Cuts all connections and lets no new ones through.
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
    modes: watch::Sender<Mode>,
    before: u32,
) {
    client_stream.set_nodelay(true).expect("a socket option");
    target_stream.set_nodelay(true).expect("a socket option");
    let (client_read, client_write) = client_stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let mut generation = modes.subscribe();
    tokio::select! {
        () = copy(client_read, target_write, None) => (),
        () = copy(target_read, client_write, Some(modes.subscribe())) => (),
        _ = generation.wait_for(|mode| mode.generation != before) => (),
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    response_mode: Option<watch::Receiver<Mode>>,
) {
    let mut bytes = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let at = bytes[..count]
            .windows(COMMIT_PARAMETER.len())
            .position(|window| window == COMMIT_PARAMETER);
        let garbles = response_mode
            .as_ref()
            .is_some_and(|response_mode| response_mode.borrow().garble_commits);
        if let (true, Some(at)) = (garbles, at) {
            bytes[at + COMMIT_PARAMETER.len() + 1] = b'?';
        }
        let mut rest = &bytes[..count];
        if let Some(mut response_mode) = response_mode.clone() {
            let _ = response_mode.wait_for(|mode| !mode.hold_responses).await;
            let splits = response_mode.borrow().split_commits;
            if let (true, Some(at)) = (splits, at) {
                let (before, after) = rest.split_at(at - FRAME_HEADER_BYTES);
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
