// Package planner groups the packages of the planner in service, a program of its own beside the gateway: it assigns
// servers to the proxies that join it. It shares the decision module (rules) with the gateway, and nothing of the gateway's
// packages. It holds no code itself.
package planner
