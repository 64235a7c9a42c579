//! Tests of planning and of rollouts on an emulated group.
