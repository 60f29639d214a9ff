//! The identity of the file that holds a store's records: its device, its inode number, and its creation time, which is 0 if
//! unknown.

use linestack::fleet::store::same_file;

// A restart of the machine may give a device another number. The device is compared only where the creation time is unknown.
#[test]
fn a_changed_device_number_keeps_the_identity() {
    assert!(same_file(&(1, 7, 99), &(2, 7, 99)) && same_file(&(1, 7, 0), &(1, 7, 0)));
    assert!(
        !same_file(&(1, 7, 99), &(1, 7, 98))
            && !same_file(&(1, 7, 99), &(1, 8, 99))
            && !same_file(&(1, 7, 0), &(2, 7, 0))
    );
}
