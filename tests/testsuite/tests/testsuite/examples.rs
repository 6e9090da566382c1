//! The example files that users copy from.

use cuminramp_routes::parse_declarations;
use cuminramp_settings::{DaemonSettings, parse_settings};

const REFERENCE: &str = include_str!("../../../../examples/reference.jsonc");
const DECLARATIONS: &str = include_str!("../../../../examples/declarations.jsonc");

// A setting is added or a default changes without an update of the reference. Operators who copy from it
// would unintentionally change settings.
#[test]
fn the_reference_shows_every_setting_with_its_default() {
    let reference = parse_settings(REFERENCE).unwrap();
    let defaults = serde_json::to_value(DaemonSettings::default()).unwrap();

    assert_eq!(reference, DaemonSettings::default());
    for (section, value) in defaults.as_object().unwrap() {
        let names = value.as_object().into_iter().flat_map(|fields| fields.keys());
        for name in names.chain(std::iter::once(section)) {
            assert!(REFERENCE.contains(&format!("\"{name}\":")), "{section}.{name} is missing");
        }
    }
}

#[test]
fn the_declarations_are_valid() {
    let declarations = parse_declarations(DECLARATIONS).unwrap();

    assert_eq!(declarations.routes.len(), 2);
}
