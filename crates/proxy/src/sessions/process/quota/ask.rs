//! Asking another VM to grant operations. All that is asked while an answer is awaited goes into the next
//! message, so what questions cost does not grow with the operations.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::quota::Grant;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

use crate::connection::socket;
use crate::process::counters::Counters;
use crate::process::counters::Event;
use crate::sessions::process::quota::answer;
use crate::sessions::store::VmAddress;

/// The time that another VM has to answer, a new connection included.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// After which time without a question a connection is closed. The other VM waits for longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How many questions wait for one VM at most.
const MAX_QUEUED: usize = 1_024;

/// How many organisations one message asks about at most.
const MAX_BATCH: usize = 64;

/// One operation of an organisation that is to be granted.
#[derive(Debug)]
struct GrantRequest {
    organisation: Arc<str>,
    answer: oneshot::Sender<Answer>,
}

/// What another VM says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answer {
    /// It allocates the organisation's operations.
    Grant(Grant),
    /// It allocates nothing of the organisation as far as it knows.
    NotHere,
    /// Nothing in time.
    Nothing,
}

/// The questions to other VMs.
#[derive(Debug)]
pub struct GrantClient {
    counters: Arc<Counters>,
    by_vm: Mutex<FastMap<Arc<str>, mpsc::Sender<GrantRequest>>>,
}

impl GrantClient {
    /// Nothing was asked yet.
    pub fn new(counters: &Arc<Counters>) -> GrantClient {
        GrantClient { counters: Arc::clone(counters), by_vm: Mutex::default() }
    }

    /// Asks a VM to grant one operation.
    pub async fn ask(&self, vm: &VmAddress, organisation: &Arc<str>) -> Answer {
        self.counters.event(Event::LimitsAsked);
        let (answer, answered) = oneshot::channel();
        let request = GrantRequest { organisation: Arc::clone(organisation), answer };
        // A full queue is as good as no answer: the question is dropped, and the answer with it.
        let _ = self.sender_to(vm).try_send(request);
        match time::timeout(ANSWER_TIMEOUT, answered).await {
            Ok(Ok(answer)) => answer,
            _ => {
                self.counters.event(Event::LimitsUnanswered);
                Answer::Nothing
            }
        }
    }

    fn sender_to(&self, vm: &VmAddress) -> mpsc::Sender<GrantRequest> {
        let mut by_vm = self.by_vm.lock();
        if let Some(sender) = by_vm.get(&vm.name).filter(|sender| !sender.is_closed()) {
            return sender.clone();
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        by_vm.insert(Arc::clone(&vm.name), sender.clone());
        tokio::spawn(run_connection(vm.clone(), receiver));
        sender
    }
}

/// Asks a VM what there is to ask until nothing was for a while, or it does not answer.
async fn run_connection(vm: VmAddress, mut requests: mpsc::Receiver<GrantRequest>) {
    let connected = time::timeout(ANSWER_TIMEOUT, TcpStream::connect(vm.peer_address)).await;
    let Ok(Ok(stream)) = connected else { return };
    // Without it small messages wait for each other, which is slow but works.
    let _ = stream.set_nodelay(true);
    let mut input = BytesMut::new();
    let mut batch = Vec::new();
    loop {
        batch.clear();
        let received = requests.recv_many(&mut batch, MAX_BATCH);
        if time::timeout(IDLE_TIMEOUT, received).await.is_err() || batch.is_empty() {
            return;
        }
        let names = batch.iter().map(|request| &*request.organisation);
        let message = answer::encode_request(names);
        let answered = time::timeout(ANSWER_TIMEOUT, exchange(&stream, &mut input, &message)).await;
        let Ok(Ok(line)) = answered else { return };
        for (request, answer) in batch.drain(..).zip(answer::decode_answers(&line)) {
            // One who waits no longer has given its operation up.
            let _ = request.answer.send(answer);
        }
    }
}

async fn exchange(stream: &TcpStream, input: &mut BytesMut, message: &str) -> io::Result<BytesMut> {
    socket::write_all(stream, message.as_bytes(), ANSWER_TIMEOUT).await?;
    answer::next_line(stream, input).await
}
