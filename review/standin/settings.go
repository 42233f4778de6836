package main

import (
	"encoding/json"
	"fmt"
)

// deployment holds the settings of a small deployment, as the operators' pages give them.
type deployment struct {
	zones    []string
	classes  []map[string]any
	extra    map[string]any
	rules    map[string]any
	fields   []string
	crossing float64
}

// glasgow returns the settings that the page on the wire shows for glasgow-tint, with its rules.
func glasgow(proxies int) *deployment {
	return &deployment{
		zones: []string{"govan", "partick", "dalmarnock", "springburn"},
		classes: []map[string]any{
			{"credit": 1.0, "effect": "idempotent", "give_up": 1200.0, "group": "all", "late_value": 0.2,
				"name": "recipe-read", "on_time": 500.0, "window": 5000.0},
			{"credit": 3.0, "effect": "deduplicated", "give_up": 2000.0, "group": "cell", "late_value": 0.1,
				"name": "batch-log", "on_time": 750.0, "window": 1200.0},
		},
		extra: map[string]any{
			"admission": "ratio", "bare": 2600.0, "base_mode": 1, "class_own_zone": []bool{false, false},
			"class_writes": []bool{false, true}, "default_size": 6, "fails_to_eject": 0, "first_wait": 0.8, "hold": 300.0,
			"ingest_rate": 150.0, "lease": 2500.0, "local_first": true, "move_price": 0.01, "overhead": 6.0,
			"pending_max": 6000.0, "period": 1000.0, "proxies": proxies, "push_delay_max": 287.5, "push_price": 0.02,
			"push_rate": 3000.0, "reload_span": 10000.0, "reloads_max": 0, "selects_by": "pair", "settle": 2020.0, "slices": 0,
			"smallest_conn_table": 153.0, "sole_owner": false, "transit": 115.0, "warm_keys": false,
		},
		rules: map[string]any{"cold": 17000.0, "cold_share": 0.19, "fall": 3000.0, "must_ask_in": 10000.0,
			"stop_sending_within": 2500.0, "tip_multiple": 4.0},
		fields: []string{"cpu_share"}, crossing: 0.08,
	}
}

// manila returns settings of manila-core as its brief and its site file give them.
func manila(proxies int) *deployment {
	d := glasgow(proxies)
	d.zones = []string{"makati", "ortigas", "diliman"}
	d.classes = []map[string]any{
		{"credit": 1.0, "effect": "idempotent", "give_up": 1500.0, "group": "all", "late_value": 0.2, "name": "balance-lookup",
			"on_time": 600.0, "window": 5000.0},
		{"credit": 3.0, "effect": "at_most_once", "give_up": 2000.0, "group": "all", "late_value": 0.2, "name": "payment-post",
			"on_time": 600.0, "window": 5000.0},
	}
	for key, value := range map[string]any{
		"admission": "silent", "base_mode": 0, "default_size": 8, "fails_to_eject": 5, "first_wait": 1.0, "overhead": 4.0,
		"local_first": false, "ingest_rate": 600.0, "pending_max": 3700.0, "push_rate": 3700.0, "push_price": 0.08,
		"push_delay_max": 370.0, "reloads_max": 12, "reload_span": 10000.0, "selects_by": "lottery",
		"smallest_conn_table": 260.0,
	} {
		d.extra[key] = value
	}
	d.fields = []string{"busy_reqs"} // the wire's name for inflight
	d.rules["tip_multiple"] = 2.5
	d.rules["fall"] = 2000.0
	d.rules["stop_sending_within"] = 1500.0
	d.crossing = 0.01
	return d
}

// config returns the configuration file of one instance.
func (d *deployment) config(name, listen, discovery string, known list) string {
	settings := map[string]any{
		"bounds": map[string]any{"conn_idle": 15000.0, "connect_timeout": 250.0, "cpu_us_per_s": 400000, "may_tell": false,
			"multiplex": 100, "probes": false},
		"classes": d.classes, "extra": d.extra, "guarantees": d.rules, "me": 0, "membership_mode": "subscribe",
		"prices":       map[string]any{"connection": 0.02, "cross_zone": d.crossing, "handshake": 0.02, "late_fail": 0.03, "waste": 0.03},
		"service_type": "control", "shapes": []string{"two-core"}, "siblings": 1,
		"stats": map[string]any{"fields": d.fields, "how": "piggyback"}, "tick": 2.0, "value_by": "request",
		"weight_kind": "rough", "zone": 0, "zones": d.zones,
	}
	file := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}
	if known.Seq > 0 {
		file["known"] = known
	}
	text, err := json.Marshal(file)
	if err != nil {
		panic(fmt.Sprint(err))
	}
	return string(text)
}
