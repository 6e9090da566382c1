//! The files that users start from.

use cuminramp_routes::parse_declarations;
use cuminramp_settings::{DaemonSettings, parse_settings};

const REFERENCE: &str = include_str!("../../../../examples/reference.jsonc");
const DECLARATIONS: &str = include_str!("../../../../examples/declarations.jsonc");

// A setting is added or a default changed, and the reference is forgotten. Operators who copy from it
// would set what they never meant to.
#[test]
fn the_reference_shows_every_setting_with_its_default() {
    let given = parse_settings(REFERENCE).unwrap();
    let keys = serde_json::to_value(DaemonSettings::default()).unwrap();

    assert_eq!(given, DaemonSettings::default());
    for (section, value) in keys.as_object().unwrap() {
        let names = value.as_object().into_iter().flat_map(|fields| fields.keys());
        for name in names.chain(std::iter::once(section)) {
            assert!(REFERENCE.contains(&format!("\"{name}\":")), "{section}.{name} is missing");
        }
    }
}

#[test]
fn the_declarations_are_sound() {
    let declarations = parse_declarations(DECLARATIONS).unwrap();

    assert_eq!(declarations.routes.len(), 2);
}
