//! The identity of the file that holds a store's records.

use linestack::fleet::store::same_file;

#[test]
fn a_changed_device_number_keeps_the_identity() {
    assert!(same_file(&(1, 7, 99), &(2, 7, 99)) && same_file(&(1, 7, 0), &(1, 7, 0)));
    assert!(
        !same_file(&(1, 7, 99), &(1, 7, 98))
            && !same_file(&(1, 7, 99), &(1, 8, 99))
            && !same_file(&(1, 7, 0), &(2, 7, 0))
    );
}
