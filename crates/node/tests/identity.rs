//! The identity of the file that holds a store's records: its device, its inode number, and its creation time, which is 0 if
//! unknown.

use linestack::fleet::store::{FileIdentity, same_file};

// A restart of the machine may give a device another number. The device is compared only where the creation time is unknown.
#[test]
fn a_changed_device_number_keeps_the_identity() {
    let file = |device, inode, created_at| FileIdentity { device, inode, created_at };
    assert!(same_file(&file(1, 7, 99), &file(2, 7, 99)) && same_file(&file(1, 7, 0), &file(1, 7, 0)));
    assert!(
        !same_file(&file(1, 7, 99), &file(1, 7, 98))
            && !same_file(&file(1, 7, 99), &file(1, 8, 99))
            && !same_file(&file(1, 7, 0), &file(2, 7, 0))
    );
}

// Stores written before hold the identity in this form.
#[test]
fn the_identity_is_stored_as_an_array() {
    let identity = FileIdentity { device: 1, inode: 7, created_at: 99 };
    assert_eq!(serde_json::to_string(&identity).unwrap(), "[1,7,99]");
    assert_eq!(serde_json::from_str::<FileIdentity>("[1,7,99]").unwrap(), identity);
}
