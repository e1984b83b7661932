//! The requesting side of quotas: asks other VMs to grant operations.
//!
//! Requests that arrive while an answer is awaited are sent as one message, so the number of messages does
//! not grow with that of the operations.

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

/// Timeout for an answer, including the time for a new connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a connection may be unused before it is closed. The other side's timeout is longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of requests that wait for one VM.
const MAX_QUEUED: usize = 1_024;

/// Maximum number of requests in one message.
const MAX_BATCH: usize = 64;

/// A request for one operation of an organisation.
#[derive(Debug)]
struct GrantRequest {
    organisation: Arc<str>,
    answer: oneshot::Sender<Answer>,
}

/// The answer of another VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answer {
    /// The VM is an allocator of the organisation, and this is its decision.
    Grant(Grant),
    /// The VM is no allocator of the organisation as far as it knows.
    NotHere,
    /// No valid answer arrived in time.
    Nothing,
}

/// Connections to the allocators on other VMs.
#[derive(Debug)]
pub struct GrantClient {
    counters: Arc<Counters>,
    by_vm: Mutex<FastMap<Arc<str>, mpsc::Sender<GrantRequest>>>,
}

impl GrantClient {
    /// Creates a client without connections.
    pub fn new(counters: &Arc<Counters>) -> GrantClient {
        GrantClient { counters: Arc::clone(counters), by_vm: Mutex::default() }
    }

    /// Asks a VM to grant one operation.
    pub async fn ask(&self, vm: &VmAddress, organisation: &Arc<str>) -> Answer {
        self.counters.event(Event::GrantsRequested);
        let (answer, answered) = oneshot::channel();
        let request = GrantRequest { organisation: Arc::clone(organisation), answer };
        // A full queue counts as a missing answer: dropping the request also drops the sender of its answer.
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

/// Sends the queued requests to a VM. Ends after a time without requests, or when the VM does not answer.
async fn run_connection(vm: VmAddress, mut requests: mpsc::Receiver<GrantRequest>) {
    let connected = time::timeout(ANSWER_TIMEOUT, TcpStream::connect(vm.peer_address)).await;
    let Ok(Ok(stream)) = connected else { return };
    // If this fails, small messages are delayed until earlier ones are acknowledged, which is slow but
    // correct.
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
            // The requester may have timed out, in which case it has abandoned the operation.
            let _ = request.answer.send(answer);
        }
    }
}

async fn exchange(stream: &TcpStream, input: &mut BytesMut, message: &str) -> io::Result<BytesMut> {
    socket::write_all(stream, message.as_bytes(), ANSWER_TIMEOUT).await?;
    answer::next_line(stream, input).await
}
