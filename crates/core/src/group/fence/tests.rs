use super::*;

// Guards against an order of a replaced planner that reaches an engine after an order of its
// successor.
#[test]
fn older_number_is_refused_after_a_newer_one() {
    let mut fence = Fence::default();
    fence.observe(3);
    assert_eq!(fence.admit(4), Ok(()));
    let stale = FenceError::Stale {
        number: 3,
        highest: 4,
    };
    assert_eq!(fence.admit(3), Err(stale));
    assert_eq!(fence.admit(4), Ok(()));
}

// Guards against a restarted process that passes on an order before it knows the highest number.
#[test]
fn no_order_is_admitted_before_the_number_is_known() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit(4), Err(FenceError::Unknown));
    fence.observe(5);
    assert!(fence.admit(4).is_err());
    assert_eq!(fence.admit(5), Ok(()));
}

// Guards against lowering the number that an order has raised.
#[test]
fn observing_never_lowers_the_number() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit(9), Err(FenceError::Unknown));
    fence.observe(2);
    assert!(fence.admit(8).is_err());
}
