//! Tests of planning, of popularity and of rollouts, in virtual time.

mod balance;
mod demand;
mod leader;
mod rollout;
