//! The platform and the targets of several groups as servers on loopback.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::TargetRecord;
use skylark_core::version::routes::TargetRole;
use skylark_platform::objects;
use skylark_platform::objects::TenantBody;
use skylark_platform::store;

use crate::typed::database::Database;
use crate::typed::group::Group;
use crate::typed::group::GroupOptions;
use crate::typed::platform::Platform;

/// The number of concurrent statements that each target registers.
const SLOTS: u32 = 2;

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: Arc<Platform>,
    /// The address of the platform's HTTP API.
    pub platform_address: SocketAddr,
    /// The groups, each with its targets in the order of its members.
    pub groups: Vec<(Arc<Group>, Vec<Database>)>,
}

impl Deployment {
    /// Starts the platform and all targets, and keeps the targets' entries in the store up to date.
    pub async fn start(groups: Vec<GroupOptions>) -> io::Result<Deployment> {
        Deployment::start_with_relays(groups, async |address| Ok(address)).await
    }

    /// Starts the platform and all targets with a relay in front of each target: `relay` receives the
    /// target's address and returns the address to register.
    pub async fn start_with_relays<F>(groups: Vec<GroupOptions>, relay: F) -> io::Result<Deployment>
    where
        F: AsyncFn(SocketAddr) -> io::Result<SocketAddr>,
    {
        let platform = Arc::new(Platform::default());
        let platform_address = platform.start().await?;
        let mut started = Vec::new();
        for options in groups {
            let group = Arc::new(Group::new(options));
            platform.add_group(&group);
            let mut databases = Vec::new();
            for member in 0..group.options.members.len() {
                let mut database = Database::start(&group, member).await?;
                database.announced = relay(database.address).await?;
                databases.push(database);
            }
            register(&platform, &databases);
            tokio::spawn(keep_registered(Arc::clone(&platform), databases.clone()));
            started.push((group, databases));
        }
        Ok(Deployment { platform, platform_address, groups: started })
    }

    /// Stores a configuration without organisations, as an operator does.
    pub fn configure(&self, table: &RouteTable) {
        self.platform.configure(table, None);
    }

    /// Stores a configuration with organisations.
    pub fn configure_with(&self, table: &RouteTable, organisations: &[TenantBody]) {
        self.platform.configure(table, Some(organisations));
    }
}

/// Writes the entries of running targets, and removes those of stopped and unlisted ones.
fn register(platform: &Platform, databases: &[Database]) {
    if platform.entries_frozen() {
        return;
    }
    for database in databases {
        let (group, member) = (&database.group, database.member);
        let state = group.member(member);
        let name = database.id();
        if !state.alive || state.unlisted {
            platform.objects.remove(store::TARGETS, &name);
            continue;
        }
        // A target that is cut off can't update its entry, so the old one stays.
        if state.cut {
            continue;
        }
        let leads = group.term_led_by(member).is_some();
        let record = TargetRecord {
            service: Arc::clone(&group.options.service),
            address: database.announced,
            zone: Arc::clone(&group.options.members[member].1),
            slots: SLOTS,
            leaving: state.leaving,
            role: if leads { TargetRole::Primary } else { TargetRole::Replica },
            id: objects::target_id(&name, state.born_ms),
            name,
        };
        platform.objects.put(store::TARGETS, &record.name, objects::encode_target(&record));
    }
}

/// Updates the targets' entries after each change of their group.
async fn keep_registered(platform: Arc<Platform>, databases: Vec<Database>) {
    let Some(mut changes) = databases.first().map(|database| database.group.changes()) else {
        return;
    };
    while changes.changed().await.is_ok() {
        register(&platform, &databases);
    }
}
