//! Which file a record is in.

use linestack::fleet::store::same_file;

#[test]
fn a_device_may_have_another_number() {
    assert!(same_file(&(1, 7, 99), &(2, 7, 99)) && same_file(&(1, 7, 0), &(1, 7, 0)));
    assert!(
        !same_file(&(1, 7, 99), &(1, 7, 98))
            && !same_file(&(1, 7, 99), &(1, 8, 99))
            && !same_file(&(1, 7, 0), &(2, 7, 0))
    );
}
