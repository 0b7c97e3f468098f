// Package trial defines what entry hosts report to each other about the versions of a service while an order to move it
// to another version is carried out.
package trial
