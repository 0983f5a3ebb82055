//! Tests of route selection.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{TypeGenerator, ValueGenerator, produce};
use briarrail_model::{
    CustomerId, RequestAttributes, RouteConditions, RouteIndex, RouteRow, TableSet,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const CUSTOMERS: [&str; 3] = ["clerks", "cutters", "testers"];
const METHODS: [&str; 2] = ["GET", "POST"];
const PATHS: [&str; 5] = [
    "/",
    "/tickets",
    "/tickets/7",
    "/ticketsale",
    "/v1/chat/completions",
];
const PREFIXES: [&str; 5] = ["", "/", "/tickets", "/tickets/", "/v1"];
const MODELS: [&str; 2] = ["pan-model", "padoms"];

/// Random bits and indices that a route is generated from.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct RouteInput {
    customers: u8,
    methods: u8,
    models: u8,
    prefix: u8,
}

fn select_names(bits: u8, names: &[&str]) -> Vec<String> {
    // A quarter of the lists are empty, which matches all names.
    if bits.is_multiple_of(4) {
        return Vec::new();
    }
    let chosen = names
        .iter()
        .enumerate()
        .filter(|(index, _)| bits >> (index + 2) & 1 == 1);
    chosen.map(|(_, name)| (*name).to_owned()).collect()
}

fn generate_tables(seed: u64) -> TableSet {
    let options = Options::default().with_max_len(1 << 12);
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &options);
    let inputs = produce::<Vec<RouteInput>>().with().len(8_usize);
    let inputs = inputs.generate(&mut driver).expect("enough input");
    let routes = inputs.into_iter().enumerate().map(|(index, input)| {
        let customers = select_names(input.customers, &CUSTOMERS);
        route(
            &format!("r{index}"),
            RouteConditions {
                customers: customers.iter().map(|id| id.as_str().into()).collect(),
                methods: select_names(input.methods, &METHODS),
                models: select_names(input.models, &MODELS),
                path_prefix: PREFIXES[usize::from(input.prefix) % PREFIXES.len()].to_owned(),
            },
        )
    });
    TableSet {
        routes: routes.collect(),
        pools: Vec::new(),
    }
}

fn route(name: &str, conditions: RouteConditions) -> RouteRow {
    let row = serde_json::json!({ "name": name, "pool": "p" });
    RouteRow {
        conditions,
        ..serde_json::from_value(row).unwrap()
    }
}

fn all_requests() -> Vec<RequestAttributes<'static>> {
    let mut requests = Vec::new();
    for customer in CUSTOMERS {
        for method in METHODS {
            for path in PATHS {
                for model in [None, Some(MODELS[0]), Some(MODELS[1])] {
                    requests.push(RequestAttributes {
                        customer,
                        method,
                        path,
                        model,
                    });
                }
            }
        }
    }
    requests
}

/// Reference implementation of `RouteConditions::matches`, written independently of it.
fn matches_reference(conditions: &RouteConditions, request: &RequestAttributes<'_>) -> bool {
    let customers: Vec<_> = conditions
        .customers
        .iter()
        .map(CustomerId::as_str)
        .collect();
    let customer = customers.is_empty() || customers.contains(&request.customer);
    let method =
        conditions.methods.is_empty() || conditions.methods.iter().any(|it| it == request.method);
    let models = &conditions.models;
    let model = models.is_empty()
        || request
            .model
            .is_some_and(|it| models.iter().any(|m| m == it));
    let path = match conditions.path_prefix.as_str() {
        "" | "/" => true,
        "/tickets" | "/tickets/" => ["/tickets", "/tickets/7"].contains(&request.path),
        "/v1" => request.path == "/v1/chat/completions",
        other => panic!("the reference has no rule for prefix {other}"),
    };
    customer && method && model && path
}

#[test]
fn most_specific_matching_route_is_found_for_fixed_seeds() {
    for seed in 0..200 {
        let tables = generate_tables(seed);
        for request in all_requests() {
            let matching = tables
                .routes
                .iter()
                .filter(|row| matches_reference(&row.conditions, &request));
            let precedence = |row: &&RouteRow| {
                (
                    std::cmp::Reverse(row.conditions.specificity()),
                    row.name.clone(),
                )
            };
            let expected = matching.min_by_key(precedence).map(|row| &row.name);
            let found = tables.route_for(&request).map(|row| &row.name);
            assert_eq!(found, expected, "seed {seed}, {request:?}");
        }
    }
}

#[test]
fn route_does_not_depend_on_row_order() {
    for seed in 0..50 {
        let tables = generate_tables(seed);
        let mut reversed = tables.clone();
        reversed.routes.reverse();
        for request in all_requests() {
            let name = |tables: &TableSet| tables.route_for(&request).map(|row| row.name.clone());
            assert_eq!(name(&tables), name(&reversed), "seed {seed}, {request:?}");
        }
    }
}

#[test]
fn index_finds_the_same_route_as_a_scan_for_fixed_seeds() {
    for seed in 0..200 {
        let tables = generate_tables(seed);
        let index = RouteIndex::new(&tables);
        for request in all_requests() {
            let expected = tables.route_for(&request);
            assert_eq!(
                index.route_for(&tables, &request),
                expected,
                "seed {seed}, {request:?}"
            );
        }
    }
}

#[test]
fn more_conditions_take_precedence_over_a_longer_prefix() {
    let by_path = RouteConditions {
        path_prefix: format!("/{}", "a".repeat(2_000)),
        ..RouteConditions::default()
    };
    let by_method = RouteConditions {
        methods: vec!["GET".into()],
        ..RouteConditions::default()
    };
    assert!(by_method.specificity() > by_path.specificity());
}
