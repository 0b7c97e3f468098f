// Package shedder decides by urgency and work which requests are sent, wait at the entry host or are refused.
package shedder
