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

use super::SHORT;

/// The parameter that carries a commit's position, and what stands before it in its message.
const COMMIT: &[u8] = b"group.commit";
const FRAME_HEADER_BYTES: usize = 5;

/// What a gate does now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Mode {
    /// Answers of the target are held back.
    pub hold_answers: bool,
    /// Each change cuts all connections.
    pub cuts: u32,
    /// New connections are closed at once.
    pub refuse: bool,
    /// What comes before a commit's position is passed on some time before it.
    pub split_commits: bool,
    /// A commit's position arrives as something that is none.
    pub garble_commits: bool,
}

/// A gate.
pub struct Gate {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// The number of cuts before each open connection.
    open: Arc<Mutex<Vec<u32>>>,
}

impl Gate {
    pub async fn start(target: SocketAddr) -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let mode = watch::Sender::new(Mode::default());
        let modes = mode.clone();
        let open: Arc<Mutex<Vec<u32>>> = Arc::default();
        let opened = Arc::clone(&open);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                // A cut that comes while the way on is being opened cuts this connection too.
                let before = *modes.borrow();
                if before.refuse {
                    continue;
                }
                let Ok(far) = TcpStream::connect(target).await else { continue };
                opened.lock().push(before.cuts);
                let (modes, opened) = (modes.clone(), Arc::clone(&opened));
                tokio::spawn(async move {
                    pass(near, far, modes, before.cuts).await;
                    let mut opened = opened.lock();
                    let own = opened.iter().position(|cuts| *cuts == before.cuts);
                    opened.swap_remove(own.expect("each connection is noted"));
                });
            }
        });
        Gate { address, mode, open }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds the target's answers back, or lets them go.
    pub fn hold_answers(&self, hold: bool) {
        self.mode.send_modify(|mode| mode.hold_answers = hold);
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
    pub async fn cut(&self) {
        self.mode.send_modify(|mode| mode.cuts += 1);
        self.old_ones_are_gone().await;
    }

    async fn old_ones_are_gone(&self) {
        let cuts = self.mode.borrow().cuts;
        let gone = || self.open.lock().iter().all(|before| *before >= cuts);
        super::eventually("all connections are cut", gone).await;
    }

    /// Cuts all connections and lets no new ones through.
    pub async fn refuse(&self, refuse: bool) {
        self.mode.send_modify(|mode| {
            mode.refuse = refuse;
            mode.cuts += 1;
        });
        self.old_ones_are_gone().await;
    }
}

async fn pass(near: TcpStream, far: TcpStream, modes: watch::Sender<Mode>, before: u32) {
    near.set_nodelay(true).expect("a socket option");
    far.set_nodelay(true).expect("a socket option");
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cuts = modes.subscribe();
    tokio::select! {
        () = copy(near_read, far_write, None) => (),
        () = copy(far_read, near_write, Some(modes.subscribe())) => (),
        _ = cuts.wait_for(|mode| mode.cuts != before) => (),
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    held: Option<watch::Receiver<Mode>>,
) {
    let mut bytes = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let at = bytes[..count].windows(COMMIT.len()).position(|window| window == COMMIT);
        let garbles = held.as_ref().is_some_and(|held| held.borrow().garble_commits);
        if let (true, Some(at)) = (garbles, at) {
            bytes[at + COMMIT.len() + 1] = b'?';
        }
        let mut rest = &bytes[..count];
        if let Some(mut held) = held.clone() {
            let _ = held.wait_for(|mode| !mode.hold_answers).await;
            let splits = held.borrow().split_commits;
            if let (true, Some(at)) = (splits, at) {
                let (before, after) = rest.split_at(at - FRAME_HEADER_BYTES);
                if to.write_all(before).await.is_err() {
                    return;
                }
                tokio::time::sleep(SHORT).await;
                rest = after;
            }
        }
        if to.write_all(rest).await.is_err() {
            return;
        }
    }
}
