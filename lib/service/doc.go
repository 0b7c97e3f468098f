// Package service holds what operators declare of one service.
package service
