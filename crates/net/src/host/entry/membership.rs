//! Membership of the entry host in the fleet.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use eelgrasshold_core::entry::Input as EntryInput;
use eelgrasshold_core::fleet::{
    EntryHosts, FleetEntry, FleetSettings, MemberView, Output as FleetOutput, Role, State,
};
use eelgrasshold_core::types::{DataCentreId, HostId};
use serde::Serialize;

use super::Shared;
use crate::entry::EntryDriver;
use crate::host::base::Base;
use crate::host::fleet::FleetDriver;
use crate::host::{HostOptions, new_incarnation};

/// Body of the answer to `GET /v1/entry-hosts`.
#[derive(Serialize)]
struct EntryHostsBody {
    entry_hosts: Vec<EntryHostBody>,
    valid_for_ms: u64,
}

#[derive(Serialize)]
struct EntryHostBody {
    host: HostId,
    address: String,
    weight: u32,
}

/// Starts the fleet machine and passes its outputs to the entry machine.
pub(super) fn start(
    options: &HostOptions,
    base: &Base,
    shared: &Arc<Shared>,
    driver: &Arc<EntryDriver>,
) -> Arc<FleetDriver<FleetEntry>> {
    let incarnation = new_incarnation();
    shared.incarnation.store(incarnation, Ordering::Relaxed);
    let settings = FleetSettings::new(
        &options.host,
        &options.region,
        &options.data_centre,
        &base.control.address.to_string(),
    )
    .data_address(&base.data.address.to_string())
    .admin_address(&base.admin.address.to_string())
    .incarnation(incarnation)
    .seeds(options.seeds.clone());
    let machine = FleetEntry::new(settings, options.seed);
    let (shared, driver) = (Arc::clone(shared), Arc::clone(driver));
    let on_output = move |machine: &FleetEntry, output| match output {
        FleetOutput::ConfigInForce(cfg) => driver.set_config(cfg),
        FleetOutput::Upstreams(list) => {
            let usable = list.iter().filter(|upstream| !upstream.leaving).count();
            shared.upstreams.store(usable, Ordering::Relaxed);
            driver.handle_input(EntryInput::Upstreams(list));
            update_entry_hosts(&shared, &driver, &machine.members());
        }
        FleetOutput::EntryHosts(answer) => {
            set_entry_hosts_json(&shared, &answer);
            update_entry_hosts(&shared, &driver, &machine.members());
        }
        FleetOutput::Incarnation(incarnation) => {
            shared.incarnation.store(incarnation, Ordering::Relaxed);
        }
        FleetOutput::AnswersExpired => shared.answers_expired.notify_one(),
        other => log::debug!("ignoring an output that this process does not handle: {other:?}"),
    };
    FleetDriver::new(machine, FleetEntry::handle, base, Box::new(on_output))
}

fn set_entry_hosts_json(shared: &Shared, answer: &EntryHosts) {
    let entry_hosts = answer
        .hosts
        .iter()
        .map(|h| EntryHostBody {
            host: h.host.clone(),
            address: format!("http://{}", h.address),
            weight: h.weight,
        })
        .collect();
    let body = EntryHostsBody {
        entry_hosts,
        valid_for_ms: answer.validity_ms,
    };
    match serde_json::to_vec(&body) {
        Ok(bytes) => {
            *shared
                .entry_hosts_json
                .write()
                .unwrap_or_else(PoisonError::into_inner) = bytes;
        }
        Err(error) => log::error!("can't encode the answer to GET /v1/entry-hosts: {error}"),
    }
}

/// Passes the live entry hosts to the entry machine if their control addresses have changed.
fn update_entry_hosts(shared: &Shared, driver: &EntryDriver, members: &[MemberView]) {
    let live = members
        .iter()
        .map(|m| &m.record)
        .filter(|r| r.role == Role::Entry && r.state == State::Live);
    let locations: BTreeMap<HostId, DataCentreId> = live
        .clone()
        .map(|r| (r.host.clone(), r.data_centre.clone()))
        .collect();
    let live: BTreeMap<HostId, String> = live
        .map(|r| (r.host.clone(), r.control_address.clone()))
        .collect();
    let mut addresses = shared
        .control_addresses
        .write()
        .unwrap_or_else(PoisonError::into_inner);
    if *addresses == live {
        return;
    }
    let hosts = live.keys().cloned().collect();
    *addresses = live;
    drop(addresses);
    driver.handle_input(EntryInput::Locations(locations));
    driver.handle_input(EntryInput::EntryHosts(hosts));
}
