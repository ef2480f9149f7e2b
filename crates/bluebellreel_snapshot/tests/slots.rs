//! Two places on disk, one of which a loss of power may tear.

use bluebellreel_snapshot::{SlotError, newest, read_slot, write_slot};
use proptest::prelude::*;

#[test]
fn the_newer_of_two_is_read() {
    let (old, new) = (write_slot(4, b"old"), write_slot(5, b"new"));
    assert_eq!(newest([&old, &new]), Some((1, 5, &b"new"[..])));
    assert_eq!(newest([&new, &old]), Some((0, 5, &b"new"[..])));
    assert_eq!(newest([&[], &old]), Some((1, 4, &b"old"[..])));
    assert_eq!(newest([&[], &[]]), None);
}

#[test]
fn reasons_are_told_apart() {
    let whole = write_slot(1, b"body");
    assert_eq!(read_slot(&whole[..20]), Err(SlotError::Short));
    assert_eq!(read_slot(&whole[..34]), Err(SlotError::Damaged));
    assert_eq!(read_slot(&[0; 64]), Err(SlotError::Foreign));
    // What a longer one has left behind it does no harm.
    let mut longer = whole.clone();
    longer.extend_from_slice(b"rest of a longer one");
    assert_eq!(read_slot(&longer), Ok((1, &b"body"[..])));
}

proptest! {
    /// Power is lost while the newer place is written: it is cut anywhere, or a
    /// part of it is still what stood there before. The older one is read.
    #[test]
    fn a_torn_write_leaves_the_other_place(
        body in prop::collection::vec(any::<u8>(), 1..200),
        cut in any::<prop::sample::Index>(),
        turned in any::<prop::sample::Index>(),
    ) {
        let old = write_slot(8, b"before");
        let new = write_slot(9, &body);
        let torn = &new[..cut.index(new.len())];
        prop_assert_eq!(newest([&old, torn]), Some((0, 8, &b"before"[..])));
        let mut mixed = new.clone();
        let at = turned.index(mixed.len());
        mixed[at] ^= 0x5a;
        prop_assert_eq!(newest([&old, &mixed]), Some((0, 8, &b"before"[..])));
    }
}
