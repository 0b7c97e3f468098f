// Package exchanger carries requests to one endpoint and tells exactly how far each came.
package exchanger
