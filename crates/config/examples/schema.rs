//! Prints the JSON Schema of the operators' document.

fn main() {
    print!("{}", nickeljunction_config::document::schema());
}
