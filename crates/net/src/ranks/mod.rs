//! Sidecar process of an engine that is a rank of a group.
//!
//! A sidecar reads its local engine, which costs the platform nothing, and forwards orders of the
//! leading sidecar to it and to other sidecars. It leads the group itself while no other sidecar
//! does. It reads the platform's registry only to find the other ranks.

mod engine;
mod group;
mod host;
mod load_reports;
mod local;
mod overlay;
mod remote;
mod wire;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use host::{RankHost, RankOptions};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
