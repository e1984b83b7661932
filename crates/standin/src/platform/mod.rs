//! A test server for the platform's object API.
//!
//! [`store`] holds the objects and the list of VMs, [`api`] handles the HTTP calls, [`faults`]
//! delays, refuses or loses answers, and [`counters`] counts the calls by kind.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use self::counters::CallCounters;
use self::faults::PlatformFaults;
use self::store::Store;

pub mod api;
pub mod counters;
pub mod faults;
pub mod store;

/// The platform's state, shared by all calls.
#[derive(Debug, Default)]
pub struct Platform {
    /// The objects and the list of VMs.
    pub store: Store,
    /// The active faults.
    pub faults: PlatformFaults,
    /// The counters of calls by kind.
    pub counters: CallCounters,
}

/// A listening platform; it stops when this is dropped.
#[derive(Debug)]
pub struct PlatformServer {
    platform: Arc<Platform>,
    address: SocketAddr,
    serving: JoinHandle<()>,
}

impl PlatformServer {
    /// Starts an empty platform in the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen on the address.
    pub async fn start(listen: SocketAddr) -> Result<PlatformServer, io::Error> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let platform = Arc::new(Platform::default());
        let router = api::router(Arc::clone(&platform));
        let serving = tokio::spawn(async move {
            // Serving ends only when the task is aborted.
            let _ = axum::serve(listener, router).await;
        });
        Ok(PlatformServer { platform, address, serving })
    }

    /// Returns the address that the server listens on, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the platform's state.
    pub fn platform(&self) -> &Arc<Platform> {
        &self.platform
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.serving.abort();
    }
}
