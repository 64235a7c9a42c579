//! Ids, times and request data that all modules share.

mod refusal;
mod request;

use std::time::Duration;

pub use refusal::{Refusal, RefusalKind, Run};
pub use request::{Load, Request, WorkClass};

/// Time on the process's monotonic clock, counted from an arbitrary origin.
pub type Now = Duration;
/// Name of a host's process, unique in the fleet and set in its settings.
pub type HostId = String;
/// Name of a data centre, a zone that can fail as a whole.
pub type DataCentreId = String;
/// Name of a region, a set of data centres that are close to each other.
pub type RegionId = String;
/// Name of a service, a kind of upstream that requests are routed to.
pub type ServiceId = String;
/// Name of a team (a customer or tenant).
pub type TeamId = String;
/// Name of an expert-parallel model group.
pub type GroupId = String;
/// Id of a request, chosen by the caller or given by the entry host.
pub type RequestId = String;
/// Handle of a request inside one entry host, given by its driver.
pub type RequestHandle = u64;
/// Id of one attempt to run a request, unique in the fleet.
pub type AttemptId = u64;
/// Incarnation of a process: each restart under the same name has a higher one.
pub type Incarnation = u64;
/// Revision of the configuration, strictly increasing.
pub type Revision = u64;
/// Hash over service and content of a request; repeats of a request share it.
pub type Fingerprint = u64;
/// Priority of a request, 0 (highest) to 7.
pub type Priority = u8;

/// Priority of a request that specifies none.
pub const DEFAULT_PRIORITY: Priority = 4;
/// Lowest priority, which is the largest number.
pub const LOWEST_PRIORITY: Priority = 7;
