//! The stand-in of the platform's object API.
//!
//! [`store`] holds the objects and the list of VMs, [`api`] answers the calls, [`faults`] holds
//! back, refuses or loses answers, and [`counters`] counts the calls by kind.

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

/// The state behind the API.
#[derive(Debug, Default)]
pub struct Platform {
    /// The objects and the list of VMs.
    pub store: Store,
    /// The faults that are on.
    pub faults: PlatformFaults,
    /// The calls counted.
    pub counters: CallCounters,
}

/// A platform that listens.
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
    /// When the address can't be listened on.
    pub async fn start(listen: SocketAddr) -> Result<PlatformServer, io::Error> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let platform = Arc::new(Platform::default());
        let router = api::router(Arc::clone(&platform));
        let serving = tokio::spawn(async move {
            // Serving ends only with the task.
            let _ = axum::serve(listener, router).await;
        });
        Ok(PlatformServer { platform, address, serving })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The state behind the API.
    pub fn platform(&self) -> &Arc<Platform> {
        &self.platform
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.serving.abort();
    }
}
