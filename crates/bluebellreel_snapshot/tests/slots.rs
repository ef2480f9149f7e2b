//! Reading two slots, one of which may be torn by a power loss.

use bluebellreel_snapshot::{SlotError, newest, read_slot, write_slot};
use proptest::prelude::*;

#[test]
fn the_newer_of_two_slots_is_read() {
    let (old, new) = (write_slot(4, b"old"), write_slot(5, b"new"));
    assert_eq!(newest([&old, &new]), Some((1, 5, &b"new"[..])));
    assert_eq!(newest([&new, &old]), Some((0, 5, &b"new"[..])));
    assert_eq!(newest([&[], &old]), Some((1, 4, &b"old"[..])));
    assert_eq!(newest([&[], &[]]), None);
}

#[test]
fn read_errors_are_distinguished() {
    let intact = write_slot(1, b"body");
    assert_eq!(read_slot(&intact[..20]), Err(SlotError::TooShort));
    assert_eq!(read_slot(&intact[..34]), Err(SlotError::Damaged));
    assert_eq!(read_slot(&[0; 64]), Err(SlotError::UnknownFormat));
    // The remainder of a longer snapshot after the body is ignored.
    let mut longer = intact.clone();
    longer.extend_from_slice(b"rest of a longer one");
    assert_eq!(read_slot(&longer), Ok((1, &b"body"[..])));
}

proptest! {
    /// Power is lost while the newer slot is written: it is truncated anywhere, or a
    /// part of it still holds the previous bytes. The older slot is read.
    #[test]
    fn a_torn_write_leaves_the_other_slot(
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
