// What an installation may set beside the platform's configuration: `woadhook run --operator deploy/example.jsonnet`.
// Every field is explained in docs/operating/fields.md; `woadhook check --operator FILE` checks a file.
// The platform runs without one: its routers share nothing.
local hall = import 'lib/hall.libsonnet';

{
  log: { format: 'json', level: 'info' },

  accord: { lease_ms: 8000, clock_tolerance_ms: 2000 },

  gossip: hall.gossip('10.20.0.4', seeds=['10.20.0.1', '10.20.0.2', '10.20.0.3']) {
    cluster: 'arhiv-test',
    // Two while the operator's key is changed.
    operator_keys: ['d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a'],
    // Who votes on what all follow; see docs/operating/accord.md.
    order: 'keys/order',
  },
}
