//! Status of an entry host, for `GET /v1/status`.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use eelgrasshold_core::fleet::{FleetEntry, MemberView};

use super::Shared;
use crate::admin::{MemberStatus, Status};
use crate::entry::EntryDriver;
use crate::host::HostOptions;
use crate::host::base::Base;
use crate::host::fleet::FleetDriver;

/// Returns a function that reads the current status.
pub(super) fn reader(
    base: &Base,
    options: &HostOptions,
    shared: &Arc<Shared>,
    driver: &Arc<EntryDriver>,
    fleet: &Arc<FleetDriver<FleetEntry>>,
) -> impl Fn() -> Status + use<> {
    let common = base.status(options, "entry");
    let (shared, driver, fleet) = (Arc::clone(shared), Arc::clone(driver), Arc::clone(fleet));
    move || {
        let cfg = driver.config();
        let draining = shared.draining.load(Ordering::Relaxed);
        let reason = match (&cfg, draining) {
            (_, true) => "draining",
            (None, false) => "no configuration is known yet",
            (Some(_), false) => "",
        };
        let revision = cfg.map_or(0, |cfg| cfg.revision);
        let common = common();
        let members = fleet.read(FleetEntry::members);
        let mut members: Vec<MemberStatus> = members.iter().map(member_status).collect();
        for member in members.iter_mut().filter(|m| m.host == common.host) {
            // The member record still has the revision that the host announced at its start.
            member.revision = revision;
        }
        Status {
            ready: reason.is_empty(),
            reason: reason.to_owned(),
            revision,
            draining,
            held: driver.open_requests() as u64,
            incarnation: shared.incarnation.load(Ordering::Relaxed),
            members,
            ..common
        }
    }
}

fn member_status(member: &MemberView) -> MemberStatus {
    let record = &member.record;
    let lowercase_name = |value: serde_json::Result<serde_json::Value>| match value {
        Ok(serde_json::Value::String(name)) => name.to_lowercase(),
        _ => String::new(),
    };
    MemberStatus {
        host: record.host.clone(),
        role: lowercase_name(serde_json::to_value(record.role)),
        data_centre: record.data_centre.clone(),
        service: record.service.clone(),
        state: lowercase_name(serde_json::to_value(record.state)),
        revision: record.revision,
        admin_address: record.admin_address.clone(),
    }
}
