//! The table of names and indices.

use woadhook_host::Interner;

/// Guards against a second release of an index, which took another index from the name that has it now.
#[test]
fn an_index_that_is_released_twice_takes_no_name_from_another_index() {
    let mut names = Interner::default();
    let (first, second) = (names.intern("first"), names.intern("second"));
    names.release(first);
    names.release(second);
    assert_eq!(names.intern("first"), second);
    names.release(first);
    assert_eq!(names.get("first"), Some(second));
    assert_ne!(names.intern("third"), second);
    assert_ne!(names.intern("fourth"), names.intern("third"));
}
