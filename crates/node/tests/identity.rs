//! Which file a record is in.

use linestack::fleet::store::same;

#[test]
fn a_device_may_have_another_number() {
    assert!(same(&(1, 7, 99), &(2, 7, 99)) && same(&(1, 7, 0), &(1, 7, 0)));
    assert!(
        !same(&(1, 7, 99), &(1, 7, 98)) && !same(&(1, 7, 99), &(1, 8, 99)) && !same(&(1, 7, 0), &(2, 7, 0))
    );
}
