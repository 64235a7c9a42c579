//! Tests of planning, expert popularity, leaders and rollouts, in virtual time.

mod balance;
mod demand;
mod leader;
mod rollout;
